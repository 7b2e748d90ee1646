#include "runtime/frame_encoder.h"

#include <catch2/catch.hpp>

namespace cometstand::runtime {
namespace {

TEST_CASE("a message that is shared is encoded once, to the same bytes") {
  const std::vector<MessagePointer> shared(
      2, std::make_shared<const wire::EnvelopeT>(makeEnvelope(wire::StatusRequestT(), 7)));
  FrameEncoder encoder;
  const auto frame = encoder.frameOf(shared[0]);
  CHECK(encoder.frameOf(shared[1]) == frame);
  CHECK(*frame == net::encodeFrame(*shared[0]));

  const MessagePointer other = std::make_shared<const wire::EnvelopeT>(makeEnvelope(wire::GoodbyeT(), 8));
  CHECK(*encoder.frameOf(other) == net::encodeFrame(*other));
}

}  // namespace
}  // namespace cometstand::runtime

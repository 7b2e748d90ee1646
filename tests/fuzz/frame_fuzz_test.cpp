#include <catch2/catch.hpp>

#include "base/error.h"
#include "tests/fuzz/mutator.h"
#include "tests/fuzz/sample_messages.h"

namespace cometstand::fuzz {
namespace {

/// Feeds the bytes in pieces. @return the number of envelopes; -1 after a typed error.
int decode(const std::string& bytes, RandomSource& random) {
  net::FrameDecoder decoder;
  int envelopes = 0;
  try {
    for (std::size_t at = 0; at < bytes.size();) {
      const auto length = std::min<std::size_t>(random.uniform(1, 600), bytes.size() - at);
      const auto* begin = reinterpret_cast<const std::uint8_t*>(bytes.data()) + at;
      decoder.append({begin, length});
      at += length;
      while (decoder.next()) ++envelopes;
    }
  } catch (const Error& error) {
    CHECK(error.kind() == ErrorKind::Malformed);
    CHECK_FALSE(error.remedy().empty());
    return -1;
  }
  return envelopes;
}

std::string text(const std::vector<std::uint8_t>& bytes) { return {bytes.begin(), bytes.end()}; }

TEST_CASE("damaged streams of frames end in a typed error", "[fuzz]") {
  Mutator mutator(11, {std::string(4, '\xff'), std::string(8, '\0')});
  const auto samples = sampleMessages();
  int refused = 0;
  for (int i = 0; i < kCases; ++i) {
    const auto first = text(frameOf(payloadOf(mutator.pick(samples))));
    const auto second = text(frameOf(payloadOf(mutator.pick(samples))));
    REQUIRE(decode(first + second, mutator.random()) == 2);
    if (decode(mutator.mutate(first + second), mutator.random()) < 0) ++refused;
  }
  CHECK(refused > kCases / 4);
}

TEST_CASE("damaged payloads with a right checksum are decoded or refused", "[fuzz]") {
  Mutator mutator(12, {std::string(4, '\xff'), std::string(8, '\0')});
  const auto samples = sampleMessages();
  int refused = 0;
  for (int i = 0; i < kCases; ++i) {
    const auto payload = mutator.mutate(payloadOf(mutator.pick(samples)));
    if (decode(text(frameOf(payload)), mutator.random()) < 0) ++refused;
  }
  CHECK(refused > 0);
}

}  // namespace
}  // namespace cometstand::fuzz

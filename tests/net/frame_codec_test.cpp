#include "net/frame_codec.h"

#include <catch2/catch.hpp>

#include "base/error.h"
#include "runtime/process_core.h"

namespace cometstand::net {
namespace {

FrameBytes sampleFrame(std::uint64_t request_id) {
  wire::CommandRequestT request;
  request.text = "show version";
  return encodeFrame(runtime::makeEnvelope(request, request_id));
}

TEST_CASE("frames survive any split of the byte stream", "[frame_codec]") {
  auto stream = sampleFrame(1);
  const auto second = sampleFrame(2);
  stream.insert(stream.end(), second.begin(), second.end());
  FrameDecoder decoder;
  std::vector<std::uint64_t> seen;
  for (const auto byte : stream) {
    decoder.append(std::span(&byte, 1));
    while (const auto envelope = decoder.next()) seen.push_back(envelope->request_id);
  }
  CHECK(seen == std::vector<std::uint64_t>{1, 2});
}

TEST_CASE("every flipped byte is found", "[frame_codec]") {
  const auto good = sampleFrame(7);
  for (std::size_t i = kFrameHeaderBytes; i < good.size(); ++i) {
    auto bad = good;
    bad[i] ^= 0x40U;
    FrameDecoder decoder;
    decoder.append(bad);
    CHECK_THROWS_AS(decoder.next(), Error);
  }
}

TEST_CASE("a length beyond the limit is refused before memory is taken", "[frame_codec]") {
  FrameDecoder decoder;
  const FrameBytes header = {0xff, 0xff, 0xff, 0xff, 0, 0, 0, 0};
  decoder.append(header);
  CHECK_THROWS_AS(decoder.next(), Error);
}

// A sidecar in a fleet of 300 has some 600 links, most of which carry a body of some kilobytes now and then.
TEST_CASE("a decoder without a part of a frame keeps little memory", "[frame_codec]") {
  wire::CommandRequestT request;
  request.text = std::string(100'000, 'x');
  auto stream = encodeFrame(runtime::makeEnvelope(request, 1));
  FrameDecoder decoder;
  decoder.append(stream);
  REQUIRE(decoder.next());
  CHECK(decoder.heldBytes() <= FrameDecoder::kKeptBytes);
  const auto part = std::span(stream).first(stream.size() / 2);
  decoder.append(part);
  CHECK_FALSE(decoder.next());
  CHECK(decoder.heldBytes() >= part.size());
}

}  // namespace
}  // namespace cometstand::net

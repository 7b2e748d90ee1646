#include "net/frame_codec.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <memory>

#include "base/error.h"

namespace cometstand::net {
namespace {

constexpr std::size_t kByteBits = 8;
constexpr std::size_t kFieldBytes = 4;
constexpr const char* kPeerRemedy = "check that the peer is a cometstand process of a compatible version";

std::uint32_t readField(const std::uint8_t* bytes) {
  std::uint32_t value = 0;
  for (std::size_t i = 0; i < kFieldBytes; ++i)
    value |= static_cast<std::uint32_t>(bytes[i]) << (kByteBits * i);
  return value;
}

void writeField(std::uint8_t* bytes, std::uint32_t value) {
  for (std::size_t i = 0; i < kFieldBytes; ++i)
    bytes[i] = static_cast<std::uint8_t>(value >> (kByteBits * i));
}

std::uint32_t checksum(std::span<const std::uint8_t> payload) {
  return static_cast<std::uint32_t>(XXH3_64bits(payload.data(), payload.size()));
}

wire::EnvelopeT decodePayload(std::span<const std::uint8_t> payload) {
  // FlatBuffers offsets are aligned to the buffer's start; the stream's bytes are not.
  const std::vector<std::uint64_t> aligned = [&] {
    std::vector<std::uint64_t> words((payload.size() + sizeof(std::uint64_t) - 1) / sizeof(std::uint64_t));
    std::copy(payload.begin(), payload.end(), reinterpret_cast<std::uint8_t*>(words.data()));
    return words;
  }();
  const auto* bytes = reinterpret_cast<const std::uint8_t*>(aligned.data());
  constexpr flatbuffers::uoffset_t kMaxDepth = 64;
  constexpr flatbuffers::uoffset_t kMaxTables = 16'000'000;
  flatbuffers::Verifier verifier(bytes, payload.size(), kMaxDepth, kMaxTables);
  if (!wire::VerifyEnvelopeBuffer(verifier)) {
    throw Error(ErrorKind::Malformed, "frame payload fails verification", kPeerRemedy);
  }
  wire::EnvelopeT envelope;
  wire::GetEnvelope(bytes)->UnPackTo(&envelope);
  return envelope;
}

}  // namespace

FrameBytes encodeFrame(const wire::EnvelopeT& envelope) {
  flatbuffers::FlatBufferBuilder builder;
  wire::FinishEnvelopeBuffer(builder, wire::Envelope::Pack(builder, &envelope));
  const std::span<const std::uint8_t> payload(builder.GetBufferPointer(), builder.GetSize());
  if (payload.size() > kMaxFrameBytes) {
    throw Error(ErrorKind::Invalid,
                fmt::format("message of {} bytes exceeds the frame limit", payload.size()),
                "split the change into smaller ones");
  }
  FrameBytes frame(kFrameHeaderBytes);
  writeField(frame.data(), static_cast<std::uint32_t>(payload.size()));
  writeField(frame.data() + kFieldBytes, checksum(payload));
  frame.insert(frame.end(), payload.begin(), payload.end());
  return frame;
}

void FrameDecoder::append(std::span<const std::uint8_t> bytes) {
  buffer_.erase(buffer_.begin(), buffer_.begin() + static_cast<std::ptrdiff_t>(consumed_));
  consumed_ = 0;
  buffer_.insert(buffer_.end(), bytes.begin(), bytes.end());
}

void FrameDecoder::forgetFrames() {
  consumed_ = 0;
  buffer_.clear();
  if (buffer_.capacity() > kKeptBytes) buffer_.shrink_to_fit();
}

std::optional<wire::EnvelopeT> FrameDecoder::next() {
  const std::span<const std::uint8_t> rest = std::span(buffer_).subspan(consumed_);
  if (rest.size() < kFrameHeaderBytes) return std::nullopt;
  const std::size_t length = readField(rest.data());
  if (length > kMaxFrameBytes) {
    throw Error(ErrorKind::Malformed, fmt::format("frame length {} exceeds the limit", length), kPeerRemedy);
  }
  if (rest.size() < kFrameHeaderBytes + length) return std::nullopt;
  const auto payload = rest.subspan(kFrameHeaderBytes, length);
  if (checksum(payload) != readField(rest.data() + kFieldBytes)) {
    throw Error(ErrorKind::Malformed, "frame checksum differs", kPeerRemedy);
  }
  auto envelope = decodePayload(payload);
  consumed_ += kFrameHeaderBytes + length;
  if (consumed_ == buffer_.size()) forgetFrames();
  return envelope;
}

}  // namespace cometstand::net

#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "schema/control_generated.h"

namespace cometstand::net {

/// Largest payload of one frame, in bytes. A configuration snapshot at the two-year size fits many times
/// over.
inline constexpr std::size_t kMaxFrameBytes = 64U * 1024U * 1024U;

/// Bytes before the payload: length and checksum, both 32 bits, little-endian. The checksum is the low half
/// of the payload's XXH3 hash.
inline constexpr std::size_t kFrameHeaderBytes = 8;

using FrameBytes = std::vector<std::uint8_t>;

/// A frame that may be on its way over several links at once.
using SharedFrame = std::shared_ptr<const FrameBytes>;

/// @return the envelope as one frame, header included.
/// @throw Error(Invalid) if the payload is larger than kMaxFrameBytes.
FrameBytes encodeFrame(const wire::EnvelopeT& envelope);

/// Splits a byte stream into envelopes. Owns the bytes that do not yet make a frame.
class FrameDecoder {
 public:
  /// Bytes of memory that a decoder keeps while it holds no part of a frame: enough for a heartbeat. A
  /// process with hundreds of idle links would otherwise keep the largest frame that each of them ever
  /// carried.
  static constexpr std::size_t kKeptBytes = 512;

  /// Appends bytes as they came from the stream.
  void append(std::span<const std::uint8_t> bytes);

  /// @return the next whole envelope, or nothing if more bytes are needed.
  /// @throw Error(Malformed) if length, checksum or structure is wrong; the stream is then unusable.
  std::optional<wire::EnvelopeT> next();

  /// @return bytes of memory held for bytes of the stream.
  std::size_t heldBytes() const { return buffer_.capacity(); }

 private:
  void forgetFrames();

  std::vector<std::uint8_t> buffer_;
  std::size_t consumed_ = 0;
};

}  // namespace cometstand::net

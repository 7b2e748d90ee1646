#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace cometstand::mesh {

using Bytes = std::vector<std::uint8_t>;

/// Largest content that decompress() gives back, in bytes.
inline constexpr std::size_t kMaxContentBytes = 32U * 1024U * 1024U;

/// @return the content as one zstd frame.
/// @throw Error(Invalid) if the content is larger than kMaxContentBytes.
Bytes compress(std::span<const std::uint8_t> content);

/// @return the content of one zstd frame.
/// @throw Error(Malformed) if the bytes are no such frame or the content is too large.
Bytes decompress(std::span<const std::uint8_t> frame);

}  // namespace cometstand::mesh

#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace cometstand::mesh {

using Bytes = std::vector<std::uint8_t>;

/// Largest content that decompress() gives back, in bytes.
inline constexpr std::size_t kMaxContentBytes = 32U * 1024U * 1024U;

/// @param prefix bytes that the reader has too, for example an older version: what both share costs nothing.
/// @return the content as one zstd frame.
/// @throw Error(Invalid) if the content is larger than kMaxContentBytes.
Bytes compress(std::span<const std::uint8_t> content, std::span<const std::uint8_t> prefix = {});

/// @param prefix the same bytes as for compress().
/// @return the content of one zstd frame.
/// @throw Error(Malformed) if the bytes are no such frame, the prefix is another one, or the content is too
/// large.
Bytes decompress(std::span<const std::uint8_t> frame, std::span<const std::uint8_t> prefix = {});

}  // namespace cometstand::mesh

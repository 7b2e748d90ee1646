#include "mesh/compression.h"

#include <zstd.h>

#include "base/error.h"

namespace cometstand::mesh {
namespace {

constexpr int kLevel = 3;

}  // namespace

Bytes compress(std::span<const std::uint8_t> content) {
  if (content.size() > kMaxContentBytes) {
    throw Error(ErrorKind::Invalid, "the configuration is too large", "send a smaller configuration");
  }
  Bytes frame(ZSTD_compressBound(content.size()));
  const std::size_t size = ZSTD_compress(frame.data(), frame.size(), content.data(), content.size(), kLevel);
  if (ZSTD_isError(size) != 0) {
    throw Error(ErrorKind::Invalid, ZSTD_getErrorName(size), "send another configuration");
  }
  frame.resize(size);
  return frame;
}

Bytes decompress(std::span<const std::uint8_t> frame) {
  const auto size = ZSTD_getFrameContentSize(frame.data(), frame.size());
  if (size > kMaxContentBytes) {
    throw Error(ErrorKind::Malformed, "compressed bytes of unknown or excessive size",
                "run the same release on all machines");
  }
  Bytes content(size);
  const std::size_t read = ZSTD_decompress(content.data(), content.size(), frame.data(), frame.size());
  if (ZSTD_isError(read) != 0 || read != size) {
    throw Error(ErrorKind::Malformed, "compressed bytes are damaged", "run the same release on all machines");
  }
  return content;
}

}  // namespace cometstand::mesh

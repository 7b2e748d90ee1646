#include "mesh/compression.h"

#include <zstd.h>

#include <memory>

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
  const std::unique_ptr<ZSTD_CCtx, decltype(&ZSTD_freeCCtx)> context(ZSTD_createCCtx(), &ZSTD_freeCCtx);
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, kLevel);
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1);
  const std::size_t size =
      ZSTD_compress2(context.get(), frame.data(), frame.size(), content.data(), content.size());
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

#include "mesh/compression.h"

#include <zstd.h>

#include <algorithm>
#include <bit>
#include <memory>

#include "base/error.h"

namespace cometstand::mesh {
namespace {

constexpr int kLevel = 3;
constexpr int kMinWindowLog = 10;
constexpr int kMaxWindowLog = 27;

using CompressionContext = std::unique_ptr<ZSTD_CCtx, decltype(&ZSTD_freeCCtx)>;
using DecompressionContext = std::unique_ptr<ZSTD_DCtx, decltype(&ZSTD_freeDCtx)>;

/// @return the logarithm of a window that reaches back over so many bytes.
int windowLogFor(std::size_t bytes) {
  return std::clamp(static_cast<int>(std::bit_width(bytes)) + 1, kMinWindowLog, kMaxWindowLog);
}

}  // namespace

Bytes compress(std::span<const std::uint8_t> content, std::span<const std::uint8_t> prefix) {
  if (content.size() > kMaxContentBytes) {
    throw Error(ErrorKind::Invalid, "the configuration is too large", "send a smaller configuration");
  }
  Bytes frame(ZSTD_compressBound(content.size()));
  const CompressionContext context(ZSTD_createCCtx(), &ZSTD_freeCCtx);
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, kLevel);
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1);
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog, windowLogFor(content.size() + prefix.size()));
  ZSTD_CCtx_refPrefix(context.get(), prefix.data(), prefix.size());
  const std::size_t size =
      ZSTD_compress2(context.get(), frame.data(), frame.size(), content.data(), content.size());
  if (ZSTD_isError(size) != 0) {
    throw Error(ErrorKind::Invalid, ZSTD_getErrorName(size), "send another configuration");
  }
  frame.resize(size);
  return frame;
}

Bytes decompress(std::span<const std::uint8_t> frame, std::span<const std::uint8_t> prefix) {
  const auto size = ZSTD_getFrameContentSize(frame.data(), frame.size());
  if (size > kMaxContentBytes) {
    throw Error(ErrorKind::Malformed, "compressed bytes of unknown or excessive size",
                "run the same release on all machines");
  }
  Bytes content(size);
  const DecompressionContext context(ZSTD_createDCtx(), &ZSTD_freeDCtx);
  ZSTD_DCtx_refPrefix(context.get(), prefix.data(), prefix.size());
  const std::size_t read =
      ZSTD_decompressDCtx(context.get(), content.data(), content.size(), frame.data(), frame.size());
  if (ZSTD_isError(read) != 0 || read != size) {
    throw Error(ErrorKind::Malformed, "compressed bytes are damaged", "run the same release on all machines");
  }
  return content;
}

}  // namespace cometstand::mesh

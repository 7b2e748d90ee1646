#include "overload/heap.h"

#include <malloc.h>

namespace cometstand::overload {
namespace {

/// Blocks of this size are mapped one by one. Usual bodies are smaller and reuse the heap's pages.
constexpr int kMappedBlockBytes = 1024 * 1024;

}  // namespace

void configureHeap() { ::mallopt(M_MMAP_THRESHOLD, kMappedBlockBytes); }

void releaseFreeHeap() { ::malloc_trim(0); }

}  // namespace cometstand::overload

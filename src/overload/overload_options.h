#pragma once

#include <algorithm>
#include <cstddef>

namespace cometstand::overload {

/// What a process may use of its machine, and how much of that is for clients.
struct OverloadOptions {
  /// Memory above which the process is killed, in units of 1,000,000 bytes.
  unsigned memory_mb = 256;
  /// File descriptors that the process may have open.
  unsigned max_descriptors = 4096;
  /// Share of the memory for bytes of clients. The rest is for all else, for copies that exist for a moment,
  /// and for bytes in the kernel's receive queues.
  double client_memory_share = 0.5;

  /// @return the limit of the process's MemoryBudget.
  std::size_t clientBytes() const {
    constexpr double kMegabyte = 1e6;
    return static_cast<std::size_t>(memory_mb * kMegabyte * client_memory_share);
  }
  /// @param share of the descriptors.
  /// @return the connections that an address with this share may have.
  std::size_t connections(double share) const {
    return static_cast<std::size_t>(share * (max_descriptors - std::min(max_descriptors, kOtherDescriptors)));
  }

 private:
  /// Descriptors that are not for connections: files, and what libraries open.
  static constexpr unsigned kOtherDescriptors = 200;
};

}  // namespace cometstand::overload

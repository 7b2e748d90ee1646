#pragma once

#include <algorithm>
#include <cstdint>
#include <limits>

namespace cometstand::relay {

/// What a group of proxies runs.
struct FleetSummary {
  std::uint32_t proxies = 0;
  /// Smallest version that is in force on any of them; the largest number if there are none.
  std::uint64_t in_force_version = std::numeric_limits<std::uint64_t>::max();

  void add(const FleetSummary& other) {
    proxies += other.proxies;
    in_force_version = std::min(in_force_version, other.in_force_version);
  }
  friend bool operator==(const FleetSummary&, const FleetSummary&) = default;
};

}  // namespace cometstand::relay

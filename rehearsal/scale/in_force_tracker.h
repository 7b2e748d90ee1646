#pragma once

#include <cstdint>
#include <map>

#include "base/time.h"

namespace cometstand::rehearsal {

/// When one version came into force on the proxies of one hollow process.
struct VersionRecord {
  /// Proxies whose as_of reached the version.
  std::uint32_t in_force_count = 0;
  /// When the last of them did.
  TimePoint in_force_last;
  /// Proxies that put a view of exactly this version in force.
  std::uint32_t applied_count = 0;
  /// When the last of them did.
  TimePoint applied_last;
};

/// Notes for each version when it was in force on how many proxies of a hollow process.
class InForceTracker {
 public:
  /// A proxy's as_of rose. Each step of one proxy is to be given once, also over restarts of the proxy.
  void onAsOf(std::uint64_t before, std::uint64_t after, TimePoint now) {
    for (std::uint64_t version = before + 1; version <= after; ++version) {
      auto& record = versions_[version];
      ++record.in_force_count;
      record.in_force_last = now;
    }
  }

  /// A proxy put a view in force.
  void onApplied(std::uint64_t version, TimePoint now) {
    auto& record = versions_[version];
    ++record.applied_count;
    record.applied_last = now;
  }

  const std::map<std::uint64_t, VersionRecord>& versions() const { return versions_; }

 private:
  std::map<std::uint64_t, VersionRecord> versions_;
};

}  // namespace cometstand::rehearsal

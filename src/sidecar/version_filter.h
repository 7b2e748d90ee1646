#pragma once

#include <string>
#include <vector>

namespace cometstand::sidecar {

/// Selects the versions of a service that one attempt of a request may be sent to.
struct VersionFilter {
  enum class Pool {
    /// All versions except the closed ones.
    All,
    /// The new version of a running rollout.
    Canary,
    /// All versions except the canary and the closed ones.
    Stable,
  };

  Pool pool = Pool::All;
  /// The new version of the running rollout.
  std::string canary;
  /// Share of the service's requests that the canary gets, in thousandths. They go to only so many of the
  /// canary's targets that each of these gets about the load of a target of an older version.
  unsigned canary_permille = 0;
  std::vector<std::string> closed;
  /// Excludes targets that have not reported a version.
  bool rejects_unknown = false;

  bool admits(const std::string& version) const {
    if (version.empty()) return !rejects_unknown && pool != Pool::Canary;
    for (const auto& name : closed) {
      if (name == version) return false;
    }
    if (pool == Pool::All) return true;
    return (version == canary) == (pool == Pool::Canary);
  }
};

}  // namespace cometstand::sidecar

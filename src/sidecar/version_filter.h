#pragma once

#include <string>
#include <vector>

namespace cometstand::sidecar {

/// Which versions of a service one sending of a request may go to.
struct VersionFilter {
  enum class Pool {
    /// All but the closed ones.
    All,
    /// The new version of a running roll-out.
    Canary,
    /// All but that version and the closed ones.
    Stable,
  };

  Pool pool = Pool::All;
  /// The new version of the running roll-out.
  std::string canary;
  /// Share of the service's requests that the canary gets, in thousandths: so large a part of its targets
  /// gets them, that each of these has about the load of an old one.
  unsigned canary_permille = 0;
  std::vector<std::string> closed;
  /// Targets that have not said their version get nothing.
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

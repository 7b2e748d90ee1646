#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "schema/mesh_generated.h"

namespace cometstand::store {

enum class RolloutVerdict : std::uint8_t { Undecided, Good, Bad };

struct RolloutJudgement {
  RolloutVerdict verdict = RolloutVerdict::Undecided;
  /// What decided it, for logs: the route and its figures.
  std::string reason;
};

/// What all targets of one version made of the requests of a service, by route.
class VersionSamples {
 public:
  struct Route {
    std::uint64_t ended = 0;
    std::uint64_t failed = 0;
    /// See wire::RouteSample.
    std::vector<std::uint64_t> run_times;
  };

  void add(const wire::RouteSampleT& sample);
  const std::map<std::string, Route>& routes() const { return routes_; }
  std::uint64_t ended() const;

 private:
  std::map<std::string, Route> routes_;
};

/// Compares a new version with the one before it over the same time, route by route. A run counts as poor if
/// it failed or took well longer than the slowest tenth of the old version's runs of that route. For each
/// route, Wald's sequential probability ratio test decides between "as poor as the old version" and "poorer
/// by kLeastHarm"; it needs few requests where the difference is large. The version is bad as soon as one
/// route is, and good once no route is in doubt.
///
/// Against fixed thresholds on rates it missed fewer bad versions for equally many false alarms; the figures
/// are in docs/design/rollouts.md.
RolloutJudgement judge(const VersionSamples& canary, const VersionSamples& stable);

}  // namespace cometstand::store

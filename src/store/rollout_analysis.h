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
  /// Route and counts that decided the verdict, for logs.
  std::string reason;
};

/// Outcomes of a service's requests at all targets of one version, by route.
class VersionSamples {
 public:
  struct Route {
    std::uint64_t ended = 0;
    std::uint64_t failed = 0;
    /// Histogram of run times; see wire::RouteSample for its buckets.
    std::vector<std::uint64_t> run_times;
  };

  void add(const wire::RouteSampleT& sample);
  const std::map<std::string, Route>& routes() const { return routes_; }
  std::uint64_t ended() const;

 private:
  std::map<std::string, Route> routes_;
};

/// Compares a new version (canary) with the previous one (stable) over the same period, route by route. A run
/// of a request counts as poor if it failed or took much longer than the 90th percentile of the stable
/// version's runs of that route. For each route, Wald's sequential probability ratio test decides whether the
/// rate of poor runs is about that of the stable version or is higher by kMinHarmfulIncrease. The test needs
/// few requests if the difference is large. The canary is bad as soon as one route is bad, and good once no
/// route is undecided.
///
/// Compared with fixed thresholds on rates, the test missed fewer bad versions at the same number of false
/// positives; the figures are in docs/design/rollouts.md.
RolloutJudgement judge(const VersionSamples& canary, const VersionSamples& stable);

}  // namespace cometstand::store

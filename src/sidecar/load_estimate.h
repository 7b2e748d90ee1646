#pragma once

#include <map>
#include <string_view>

#include "base/time.h"

namespace cometstand::sidecar {

struct Endpoint;

/// @return the weight of the endpoint's latest report, which falls from 1 for a new report towards 0.
/// @param half_life the age at which a report has weight 0.5.
double reportWeight(const Endpoint& endpoint, Duration half_life, TimePoint now);

/// Load estimate from the combined reports of the endpoints of one service, built for each endpoint
/// selection. In a large fleet a sender gets reports of each endpoint rarely, so the newer reports of other
/// endpoints in the zone are better evidence than an old report of the endpoint itself.
class LoadEstimate {
 public:
  explicit LoadEstimate(TimePoint now) : now_(now) {}

  /// @param endpoint must outlive the estimate.
  void add(const Endpoint& endpoint);

  /// @return the mean share of free slots, from 0 to 1.
  double freeSlotShare() const;

  /// @return the mean run time as a share of the latency objective; 0 if no run time is known.
  double meanRunTime() const;

  /// @return the estimated requests at the endpoint: its own report, blended with the mean of its zone as the
  /// report ages, and never less than this sender's requests in flight there.
  double estimatedRequests(const Endpoint& endpoint) const;

 private:
  /// Mean that is weighted by the age of the reports.
  struct Mean {
    double sum = 0;
    double weights = 0;
  };

  TimePoint now_;
  Mean run_time_;
  /// Requests per slot over all zones.
  Mean mean_load_;
  /// Requests per slot, by zone.
  std::map<std::string_view, Mean> zone_load_;
};

}  // namespace cometstand::sidecar

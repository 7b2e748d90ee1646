#pragma once

#include <map>
#include <string_view>

#include "base/time.h"

namespace cometstand::sidecar {

struct Endpoint;

/// @return how much the endpoint's latest report still counts, from 1 for a new one to 0.
/// @param half_life a report of this age counts half.
double trustIn(const Endpoint& endpoint, Duration half_life, TimePoint now);

/// What the reports of several endpoints of one service tell together, made anew for each choice. In a large
/// fleet a sender hears of each endpoint seldom, so an old report says less than the newer ones of its
/// neighbours.
class LoadEstimate {
 public:
  explicit LoadEstimate(TimePoint now) : now_(now) {}

  /// @param endpoint must outlive the estimate.
  void add(const Endpoint& endpoint);

  /// @return the share of the slots that is free on average, from 0 to 1.
  double freeShare() const;

  /// @return the mean run time as a share of the objective; 0 if none is known.
  double meanRunTime() const;

  /// @return requests at the endpoint: what it reported as far as that is new, else what its zone has on
  /// average, but never less than this sender sent there.
  double requestsAt(const Endpoint& endpoint) const;

 private:
  /// A mean in which newer reports count more.
  struct Mean {
    double sum = 0;
    double weights = 0;
  };

  TimePoint now_;
  Mean run_time_;
  /// Requests by slot, of all zones.
  Mean mean_load_;
  /// Requests by slot, by zone.
  std::map<std::string_view, Mean> load_;
};

}  // namespace cometstand::sidecar

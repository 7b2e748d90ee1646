#pragma once

#include <map>
#include <optional>
#include <string>

#include "base/random.h"
#include "sidecar/distance_cost.h"
#include "sidecar/endpoint.h"
#include "sidecar/load_estimate.h"
#include "sidecar/sidecar_options.h"

namespace cometstand::sidecar {

/// What sending a request to an endpoint costs, in units of a full target: the endpoint of the least cost is
/// chosen. Load, speed, distance, failures, silence and refusals count; what may not be chosen at all is
/// decided by EndpointFilter.
class EndpointCost {
 public:
  /// @param options and links must outlive the object.
  EndpointCost(const SidecarOptions& options, const RegionLinks& links) : distance_(options, links) {}

  double of(const Endpoint& endpoint, const EndpointWant& want, const LoadEstimate& estimate,
            RandomSource& random, TimePoint now) const;

  /// @return since when the endpoint has been silent on its requests for much longer than answers of its
  /// service take; nothing if it has not.
  std::optional<TimePoint> missedSince(const Endpoint& endpoint, TimePoint now) const;

  /// A target of the service answered after that time.
  void noteAnswered(const std::string& service, Duration time);

 private:
  /// @return what the time costs that bodies wait for the endpoint's link.
  static double ofWaiting(const Endpoint& endpoint, const EndpointWant& want, TimePoint now);
  /// @return what the silence of an endpoint with outstanding requests costs.
  double ofSilence(const Endpoint& endpoint, TimePoint now) const;

  DistanceCost distance_;
  /// Smoothed time from a request to its answer, by service, in microseconds.
  std::map<std::string, double> answer_time_;
};

}  // namespace cometstand::sidecar

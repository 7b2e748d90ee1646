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

/// Computes the cost of sending a request to an endpoint; the endpoint with the lowest cost is selected. A
/// cost of 1 corresponds to a target whose slots are all in use. The cost covers load, speed, distance,
/// failures, missing replies and refusals. EndpointFilter excludes the endpoints that are not eligible.
class EndpointCost {
 public:
  /// @param options and links must outlive the object.
  EndpointCost(const SidecarOptions& options, const RegionLinks& links) : distance_(options, links) {}

  double of(const Endpoint& endpoint, const EndpointCriteria& criteria, const LoadEstimate& estimate,
            RandomSource& random, TimePoint now) const;

  /// @return the time at which the endpoint's reply became overdue, which is when it had left its requests
  /// without a reply for much longer than responses of its service take; nullopt if it is not overdue.
  std::optional<TimePoint> overdueSince(const Endpoint& endpoint, TimePoint now) const;

  /// Records the time that a target of the service took to respond.
  void noteAnswered(const std::string& service, Duration time);

 private:
  /// @return the cost of the time that large bodies wait for the endpoint's link.
  static double transferWaitCost(const Endpoint& endpoint, const EndpointCriteria& criteria, TimePoint now);
  /// @return the cost of missing replies of an endpoint that has requests in flight.
  double missingReplyCost(const Endpoint& endpoint, TimePoint now) const;

  DistanceCost distance_;
  /// Smoothed response time by service, in microseconds.
  std::map<std::string, double> response_time_;
};

}  // namespace cometstand::sidecar

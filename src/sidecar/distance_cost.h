#pragma once

#include "sidecar/endpoint.h"
#include "sidecar/region_links.h"

namespace cometstand::sidecar {

/// Computes the cost of the network distance to an endpoint, in units of a full target. The own zone costs
/// nothing, traffic between zones is charged by bytes, and traffic between regions also by round-trip time.
class DistanceCost {
 public:
  /// @param options and links must outlive the object.
  DistanceCost(const SidecarOptions& options, const RegionLinks& links) : options_(options), links_(links) {}

  double of(const Endpoint& endpoint, const EndpointCriteria& criteria, TimePoint now) const;

 private:
  /// @return the cost of sending the request to another region.
  double crossRegionCost(const Endpoint& endpoint, const EndpointCriteria& criteria, TimePoint now) const;

  const SidecarOptions& options_;
  const RegionLinks& links_;
};

}  // namespace cometstand::sidecar

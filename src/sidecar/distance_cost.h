#pragma once

#include "sidecar/endpoint.h"
#include "sidecar/region_links.h"

namespace cometstand::sidecar {

/// What the way to an endpoint costs, in units of a full target: nothing in the own zone, bytes between
/// zones, and between regions the time of the way as well.
class DistanceCost {
 public:
  /// @param options and links must outlive the object.
  DistanceCost(const SidecarOptions& options, const RegionLinks& links) : options_(options), links_(links) {}

  double of(const Endpoint& endpoint, const EndpointWant& want, TimePoint now) const;

 private:
  /// @return what the way to another region costs.
  double ofRegion(const Endpoint& endpoint, const EndpointWant& want, TimePoint now) const;

  const SidecarOptions& options_;
  const RegionLinks& links_;
};

}  // namespace cometstand::sidecar

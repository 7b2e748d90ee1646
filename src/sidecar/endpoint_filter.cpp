#include "sidecar/endpoint_filter.h"

namespace cometstand::sidecar {

bool EndpointFilter::admits(const Endpoint& endpoint, const EndpointWant& want, TimePoint now) const {
  if (!isReachable(endpoint)) return false;
  if (!want.versions.admits(endpoint.version)) return false;
  if (!isAllowedRegion(endpoint, want)) return false;
  if (evacuations_.isEvacuated(endpoint.zone)) return false;
  return hasColdRoom(endpoint, now);
}

bool EndpointFilter::isAllowedRegion(const Endpoint& endpoint, const EndpointWant& want) const {
  const auto& region = zones_.regionOf(endpoint.zone);
  return mesh::isAllowedRegion(want.regions, region) && mesh::isAllowedRegion(want.newer_regions, region);
}

bool EndpointFilter::hasColdRoom(const Endpoint& /*endpoint*/, TimePoint /*now*/) { return true; }

}  // namespace cometstand::sidecar

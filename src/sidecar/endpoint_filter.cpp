#include "sidecar/endpoint_filter.h"

namespace cometstand::sidecar {

bool EndpointFilter::admits(const Endpoint& endpoint, const EndpointWant& want, TimePoint now) const {
  return isEligible(endpoint, want) && hasWarmUpCapacity(endpoint, now);
}

bool EndpointFilter::isEligible(const Endpoint& endpoint, const EndpointWant& want) const {
  if (!isReachable(endpoint)) return false;
  if (!want.versions.admits(endpoint.version)) return false;
  if (!isAllowedRegion(endpoint, want)) return false;
  return !evacuations_.isEvacuated(endpoint.zone);
}

bool EndpointFilter::isAllowedRegion(const Endpoint& endpoint, const EndpointWant& want) const {
  const auto& region = zones_.regionOf(endpoint.zone);
  return mesh::isAllowedRegion(want.regions, region) && mesh::isAllowedRegion(want.newer_regions, region);
}

bool EndpointFilter::hasWarmUpCapacity(const Endpoint& endpoint, TimePoint now) {
  return now >= endpoint.cold_until || endpoint.cold_room > 0 || now >= endpoint.cold_retry_at;
}

}  // namespace cometstand::sidecar

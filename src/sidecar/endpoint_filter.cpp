#include "sidecar/endpoint_filter.h"

namespace cometstand::sidecar {

bool EndpointFilter::admits(const Endpoint& endpoint, const EndpointCriteria& criteria, TimePoint now) const {
  return isEligible(endpoint, criteria) && hasColdCapacity(endpoint, now) && now >= endpoint.limit_retry_at;
}

bool EndpointFilter::isEligible(const Endpoint& endpoint, const EndpointCriteria& criteria) const {
  if (!isReachable(endpoint)) return false;
  if (!criteria.versions.admits(endpoint.version)) return false;
  if (!isAllowedRegion(endpoint, criteria)) return false;
  // A sidecar that restarted before the stores committed the notice does not know that its target leaves.
  if (statements_.isLeaving(endpoint)) return false;
  return !evacuations_.isEvacuated(endpoint.zone);
}

bool EndpointFilter::isAllowedRegion(const Endpoint& endpoint, const EndpointCriteria& criteria) const {
  const auto& region = zones_.regionOf(endpoint.zone);
  return mesh::isAllowedRegion(criteria.regions, region) &&
         mesh::isAllowedRegion(criteria.regions_of_newer_configuration, region);
}

bool EndpointFilter::hasColdCapacity(const Endpoint& endpoint, TimePoint now) {
  return now >= endpoint.cold_until || endpoint.cold_room > 0 || now >= endpoint.cold_retry_at;
}

}  // namespace cometstand::sidecar

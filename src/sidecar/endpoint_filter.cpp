#include "sidecar/endpoint_filter.h"

#include <algorithm>

namespace cometstand::sidecar {

bool EndpointFilter::admits(const Endpoint& endpoint, const EndpointWant& want, TimePoint now) const {
  return isEligible(endpoint, want) && hasColdRoom(endpoint, now);
}

bool EndpointFilter::isEligible(const Endpoint& endpoint, const EndpointWant& want) const {
  if (!isReachable(endpoint)) return false;
  if (!want.versions.admits(endpoint.version)) return false;
  if (!isAllowedRegion(endpoint, want)) return false;
  return !evacuations_.isEvacuated(endpoint.zone);
}

bool EndpointFilter::isAllowedRegion(const Endpoint& endpoint, const EndpointWant& want) const {
  if (want.regions.empty()) return true;
  const auto& region = zones_.regionOf(endpoint.zone);
  return std::find(want.regions.begin(), want.regions.end(), region) != want.regions.end();
}

bool EndpointFilter::hasColdRoom(const Endpoint& endpoint, TimePoint now) {
  return now >= endpoint.cold_until || endpoint.cold_room > 0 || now >= endpoint.cold_closed_until;
}

}  // namespace cometstand::sidecar

#include "sidecar/distance_cost.h"

#include <algorithm>

namespace cometstand::sidecar {
namespace {

/// Most that the time of the way costs, in units of a full target: less than what an endpoint costs that is
/// to be avoided.
constexpr double kMostTimeCost = 50;

}  // namespace

double DistanceCost::of(const Endpoint& endpoint, const EndpointWant& want, TimePoint now) const {
  switch (links_.distanceOf(endpoint)) {
    case mesh::ZoneDistance::SameZone:
      return 0;
    case mesh::ZoneDistance::SameRegion:
      return options_.zone_cost.of(want.bytes);
    case mesh::ZoneDistance::OtherRegion:
      return options_.zone_cost.of(want.bytes) + ofRegion(endpoint, want, now);
  }
  return 0;
}

/// A way that takes as long as the request may wait for a slot costs as much as a full target, where it would
/// wait that long.
double DistanceCost::ofRegion(const Endpoint& endpoint, const EndpointWant& want, TimePoint now) const {
  const double bytes = static_cast<double>(want.bytes) / options_.region_bytes_per_target;
  if (want.patience <= Duration::zero()) return bytes;
  const auto way = static_cast<double>(links_.roundTrip(endpoint, now).count());
  return bytes + std::min(kMostTimeCost, way / static_cast<double>(want.patience.count()));
}

}  // namespace cometstand::sidecar

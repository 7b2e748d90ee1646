#include "sidecar/distance_cost.h"

#include <algorithm>

namespace cometstand::sidecar {
namespace {

/// Most that the time of the way costs, in units of a full target: less than what an endpoint costs that is
/// to be avoided.
constexpr double kMostTimeCost = 50;

/// The share of refused requests from which on the way between regions counts least, and how much it counts
/// then. Measured (docs/design/regions.md): with 0 half as many requests more cross for the same share
/// served, with 1 callers of a full region are refused 8 in 100 more often than those of the other one.
constexpr double kRefusedAtLeastWeight = 0.05;
constexpr double kLeastWeight = 0.2;

}  // namespace

double DistanceCost::of(const Endpoint& endpoint, const EndpointWant& want, TimePoint now) const {
  switch (links_.distanceOf(endpoint)) {
    case mesh::ZoneDistance::SameZone:
      return 0;
    case mesh::ZoneDistance::SameRegion:
      return options_.zone_cost.of(want.bytes);
    case mesh::ZoneDistance::OtherRegion:
      return ofRegion(endpoint, want, now);
  }
  return 0;
}

/// A way that takes as long as the request may wait for a slot costs as much as a full target, where it would
/// wait that long. The more requests are refused, the less the way counts: callers of a full region would be
/// refused while those of another one are not.
double DistanceCost::ofRegion(const Endpoint& endpoint, const EndpointWant& want, TimePoint now) const {
  const double bytes = static_cast<double>(want.bytes) / options_.region_bytes_per_target;
  double way = 0;
  if (want.patience > Duration::zero()) {
    const auto round_trip = static_cast<double>(links_.roundTrip(endpoint, now).count());
    way = std::min(kMostTimeCost, round_trip / static_cast<double>(want.patience.count()));
  }
  const double weight = std::max(kLeastWeight, 1 - want.refused_share / kRefusedAtLeastWeight);
  const double all_bytes = bytes + options_.zone_cost.of(want.bytes) - options_.zone_cost.base;
  return all_bytes + weight * (options_.zone_cost.base + way);
}

}  // namespace cometstand::sidecar

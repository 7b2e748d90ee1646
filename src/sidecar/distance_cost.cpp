#include "sidecar/distance_cost.h"

#include <algorithm>

namespace cometstand::sidecar {
namespace {

/// Upper bound of the round-trip cost, in units of a full target. It is less than the cost of an endpoint
/// that is to be avoided (kAvoidCost in endpoint_cost.cpp).
constexpr double kMaxRoundTripCost = 50;

/// Share of refused requests at and above which the distance between regions has its minimum weight, and that
/// weight. With weight 0, 50% more requests cross regions for the same share served. With weight 1, the
/// refusal rate of callers in a full region is 8 percentage points above that of the other region
/// (docs/design/regions.md).
constexpr double kRefusedShareAtMinWeight = 0.05;
constexpr double kMinDistanceWeight = 0.2;

}  // namespace

double DistanceCost::of(const Endpoint& endpoint, const EndpointCriteria& criteria, TimePoint now) const {
  switch (links_.distanceOf(endpoint)) {
    case mesh::ZoneDistance::SameZone:
      return 0;
    case mesh::ZoneDistance::SameRegion:
      return options_.zone_cost.of(criteria.bytes);
    case mesh::ZoneDistance::OtherRegion:
      return crossRegionCost(endpoint, criteria, now);
  }
  return 0;
}

/// A round trip as long as the request's maximum wait for a slot costs as much as a full target, where the
/// request would wait that long. The weight of the distance falls as more requests are refused; otherwise
/// callers in a full region would be refused while those in another region are served.
double DistanceCost::crossRegionCost(const Endpoint& endpoint, const EndpointCriteria& criteria,
                                     TimePoint now) const {
  const double bytes = static_cast<double>(criteria.bytes) / options_.region_bytes_per_target;
  double round_trip_cost = 0;
  if (criteria.max_wait > Duration::zero()) {
    const auto round_trip = static_cast<double>(links_.roundTrip(endpoint, now).count());
    round_trip_cost =
        std::min(kMaxRoundTripCost, round_trip / static_cast<double>(criteria.max_wait.count()));
  }
  const double weight = std::max(kMinDistanceWeight, 1 - criteria.refusal_share / kRefusedShareAtMinWeight);
  const double bytes_cost = bytes + options_.zone_cost.of(criteria.bytes) - options_.zone_cost.base;
  return bytes_cost + weight * (options_.zone_cost.base + round_trip_cost);
}

}  // namespace cometstand::sidecar

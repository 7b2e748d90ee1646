#include "sidecar/load_estimate.h"

#include <catch2/catch.hpp>

#include "sidecar/endpoint_directory.h"

namespace cometstand::sidecar::test {

namespace {

constexpr unsigned kSlots = 6;
const TimePoint kNow{std::chrono::seconds(100)};

Endpoint makeEndpoint(const std::string& zone, unsigned load, Duration age) {
  Endpoint endpoint;
  endpoint.zone = zone;
  endpoint.slots = kSlots;
  endpoint.reported_load = load;
  endpoint.reported_at = kNow - age;
  return endpoint;
}

}  // namespace

// Guards against taking an endpoint with an old report for idle: in a large mesh each sender got reports of
// an endpoint only a few times per second, so full endpoints of its own zone soon counted as idle again and
// were preferred to idle endpoints of other zones.
TEST_CASE("an endpoint with an old report is assumed to have the mean load of its zone") {
  const auto fresh = makeEndpoint("zone-a", kSlots, Duration::zero());
  const auto old = makeEndpoint("zone-a", 0, std::chrono::seconds(2));
  const auto other_zone = makeEndpoint("zone-b", 1, Duration::zero());
  LoadEstimate estimate(kNow);
  for (const auto* endpoint : {&fresh, &old, &other_zone}) estimate.add(*endpoint);
  CHECK(estimate.estimatedRequests(fresh) == Approx(kSlots));
  CHECK(estimate.estimatedRequests(old) > 0.5 * kSlots);
  CHECK(estimate.estimatedRequests(other_zone) == Approx(1));
}

TEST_CASE("old reports of a zone do not keep requests away from it") {
  const auto first = makeEndpoint("zone-a", kSlots, std::chrono::seconds(30));
  const auto second = makeEndpoint("zone-a", kSlots, std::chrono::seconds(30));
  LoadEstimate estimate(kNow);
  estimate.add(first);
  estimate.add(second);
  CHECK(estimate.estimatedRequests(first) < 1);
}

TEST_CASE("a sender's own requests in flight count regardless of the report") {
  auto endpoint = makeEndpoint("zone-a", 0, Duration::zero());
  endpoint.outstanding = 4;
  LoadEstimate estimate(kNow);
  estimate.add(endpoint);
  CHECK(estimate.estimatedRequests(endpoint) == Approx(4));
}

TEST_CASE("the share of free slots covers all zones") {
  const auto full = makeEndpoint("zone-a", kSlots, Duration::zero());
  const auto idle = makeEndpoint("zone-b", 0, Duration::zero());
  LoadEstimate estimate(kNow);
  CHECK(estimate.freeSlotShare() == Approx(1));
  estimate.add(full);
  CHECK(estimate.freeSlotShare() < 0.2);
  estimate.add(idle);
  CHECK(estimate.freeSlotShare() == Approx(0.5).margin(0.05));
}

}  // namespace cometstand::sidecar::test

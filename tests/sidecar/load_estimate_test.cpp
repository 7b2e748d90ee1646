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

// wn-mesh-grown, scale-2: each sender heard of an endpoint a few times a second, so full endpoints of its own
// zone soon counted as idle again and were chosen before idle ones of other zones.
TEST_CASE("an endpoint whose report is old counts as loaded as its zone") {
  const auto fresh = makeEndpoint("zone-a", kSlots, Duration::zero());
  const auto old = makeEndpoint("zone-a", 0, std::chrono::seconds(2));
  const auto other_zone = makeEndpoint("zone-b", 1, Duration::zero());
  LoadEstimate estimate(kNow);
  for (const auto* endpoint : {&fresh, &old, &other_zone}) estimate.add(*endpoint);
  CHECK(estimate.requestsAt(fresh) == Approx(kSlots));
  CHECK(estimate.requestsAt(old) > 0.5 * kSlots);
  CHECK(estimate.requestsAt(other_zone) == Approx(1));
}

TEST_CASE("what was heard of a zone long ago does not keep requests away") {
  const auto first = makeEndpoint("zone-a", kSlots, std::chrono::seconds(30));
  const auto second = makeEndpoint("zone-a", kSlots, std::chrono::seconds(30));
  LoadEstimate estimate(kNow);
  estimate.add(first);
  estimate.add(second);
  CHECK(estimate.requestsAt(first) < 1);
}

TEST_CASE("a sender's own requests count whatever was reported") {
  auto endpoint = makeEndpoint("zone-a", 0, Duration::zero());
  endpoint.outstanding = 4;
  LoadEstimate estimate(kNow);
  estimate.add(endpoint);
  CHECK(estimate.requestsAt(endpoint) == Approx(4));
}

TEST_CASE("the share of free slots is that of all zones together") {
  const auto full = makeEndpoint("zone-a", kSlots, Duration::zero());
  const auto idle = makeEndpoint("zone-b", 0, Duration::zero());
  LoadEstimate estimate(kNow);
  CHECK(estimate.freeShare() == Approx(1));
  estimate.add(full);
  CHECK(estimate.freeShare() < 0.2);
  estimate.add(idle);
  CHECK(estimate.freeShare() == Approx(0.5).margin(0.05));
}

}  // namespace cometstand::sidecar::test

// Tests which endpoints a sidecar opens links to, for fleets of different sizes.
#include "sidecar/endpoint_subset.h"

#include <catch2/catch.hpp>
#include <cmath>

namespace cometstand::sidecar {
namespace {

using runtime::Address;

constexpr std::size_t kZones = 6;

std::string zoneOf(std::size_t number) { return "zone-" + std::to_string(number % kZones); }
Address addressOf(std::size_t number) {
  return {"10." + std::to_string(number / 65'536) + "." + std::to_string(number / 256 % 256) + "." +
              std::to_string(number % 256),
          7'000};
}

/// @return the subset of machine `number` in a fleet whose endpoints are spread evenly over the zones.
EndpointSubset makeSubset(std::size_t number, std::size_t endpoints) {
  EndpointSubset subset("node-" + std::to_string(number), zoneOf(number));
  for (std::size_t i = 0; i < endpoints; ++i) subset.add(addressOf(i), "shop", "v1", zoneOf(i));
  subset.refresh();
  return subset;
}

}  // namespace

TEST_CASE("the number of links is bounded regardless of the fleet size", "[subset]") {
  const std::size_t endpoints = GENERATE(10, 100, 1'000, 10'000);
  const auto subset = makeSubset(3, endpoints);
  constexpr std::size_t kMaxSize =
      EndpointSubset::kMaxOwnZoneEndpoints + EndpointSubset::kMaxOtherZoneEndpoints + kZones;
  CHECK(subset.size() <= kMaxSize);
  CHECK(subset.size() >= std::min<std::size_t>(endpoints, 60));
}

TEST_CASE("all endpoints of a small service are in the subset", "[subset]") {
  CHECK(makeSubset(3, 30).size() == 30);
}

TEST_CASE("all endpoints have about the same number of senders", "[subset]") {
  constexpr std::size_t kMachines = 600;
  std::map<Address, std::size_t> senders;
  for (std::size_t machine = 0; machine < kMachines; ++machine) {
    const auto subset = makeSubset(machine, kMachines);
    for (std::size_t i = 0; i < kMachines; ++i)
      senders[addressOf(i)] += subset.contains(addressOf(i)) ? 1 : 0;
  }
  std::size_t most = 0;
  std::size_t all = 0;
  for (const auto& [address, count] : senders) {
    most = std::max(most, count);
    all += count;
    CHECK(count > 0);
  }
  // Target ratio of the busiest endpoint's load to the mean.
  CHECK(static_cast<double>(most) <= 1.5 * static_cast<double>(all) / kMachines);
}

TEST_CASE("removing an endpoint changes one link at few sidecars", "[subset]") {
  constexpr std::size_t kMachines = 300;
  std::size_t changed = 0;
  for (std::size_t machine = 0; machine < kMachines; ++machine) {
    auto subset = makeSubset(machine, kMachines);
    const bool had = subset.contains(addressOf(7));
    subset.remove(addressOf(7));
    const auto added = subset.refresh();
    CHECK(added.size() <= (had ? 1 : 0));
    changed += added.size();
    CHECK_FALSE(subset.contains(addressOf(7)));
  }
  CHECK(changed > 0);
  CHECK(changed < kMachines / 2);
}

TEST_CASE("every zone is in the subset, and other zones replace a failed own zone", "[subset]") {
  auto subset = makeSubset(3, 600);
  std::map<std::string, std::size_t> of_zone;
  for (std::size_t i = 0; i < 600; ++i) of_zone[zoneOf(i)] += subset.contains(addressOf(i)) ? 1 : 0;
  for (std::size_t zone = 0; zone < kZones; ++zone) CHECK(of_zone[zoneOf(zone)] >= 2);
  for (std::size_t i = 3; i < 600; i += kZones) subset.remove(addressOf(i));
  subset.refresh();
  CHECK(subset.size() >= EndpointSubset::kMaxOtherZoneEndpoints);
}

TEST_CASE("a new version has its own subset, and a service may be exempt from the limits", "[subset]") {
  auto subset = makeSubset(3, 600);
  const std::size_t before = subset.size();
  for (std::size_t i = 1'000; i < 1'012; ++i) subset.add(addressOf(i), "shop", "v2", zoneOf(i));
  CHECK(subset.refresh().size() == 12);
  subset.setUnrestrictedServices({"shop"});
  CHECK(subset.refresh().size() == 600 - before);
  CHECK(subset.size() == 612);
  subset.setUnrestrictedServices({});
  subset.refresh();
  CHECK(subset.size() == before + 12);
}

TEST_CASE("an address that moves to another service leaves no stale state", "[subset]") {
  auto subset = makeSubset(3, 600);
  for (std::size_t i = 0; i < 600; ++i)
    subset.add(addressOf(i), i % 2 == 0 ? "desk" : "shop", "v1", zoneOf(i));
  subset.refresh();
  auto fresh = EndpointSubset("node-3", zoneOf(3));
  for (std::size_t i = 0; i < 600; ++i)
    fresh.add(addressOf(i), i % 2 == 0 ? "desk" : "shop", "v1", zoneOf(i));
  fresh.refresh();
  for (std::size_t i = 0; i < 600; ++i) CHECK(subset.contains(addressOf(i)) == fresh.contains(addressOf(i)));
  CHECK(subset.size() == fresh.size());
}

}  // namespace cometstand::sidecar

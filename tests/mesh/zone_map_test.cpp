#include "mesh/zone_map.h"

#include <catch2/catch.hpp>

#include "base/error.h"

using namespace cometstand;
using mesh::ZoneDistance;
using mesh::ZoneMap;

TEST_CASE("zones are told apart by zone and region") {
  const ZoneMap zones({"a=east", "b=east", "c=west"});
  CHECK(zones.distance("a", "a") == ZoneDistance::SameZone);
  CHECK(zones.distance("a", "b") == ZoneDistance::SameRegion);
  CHECK(zones.distance("a", "c") == ZoneDistance::OtherRegion);
  CHECK(zones.regionOf("c") == "west");
  CHECK(zones.regionOf("d").empty());
}

TEST_CASE("a zone that is not known counts as one of the own region") {
  const ZoneMap zones({"a=east"});
  CHECK(zones.distance("a", "d") == ZoneDistance::SameRegion);
  CHECK(ZoneMap().distance("a", "b") == ZoneDistance::SameRegion);
}

TEST_CASE("entries that name no zone and region, or a zone twice, are refused") {
  using Entries = std::vector<std::string>;
  CHECK_THROWS_AS(ZoneMap(Entries{"a"}), Error);
  CHECK_THROWS_AS(ZoneMap(Entries{"=east"}), Error);
  CHECK_THROWS_AS(ZoneMap(Entries{"a="}), Error);
  CHECK_THROWS_AS(ZoneMap(Entries{"a=east", "a=west"}), Error);
}

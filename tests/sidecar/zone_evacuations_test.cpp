#include "sidecar/zone_evacuations.h"

#include <catch2/catch.hpp>
#include <memory>

using namespace cometstand;
using sidecar::ZoneEvacuations;

namespace {

wire::EvacuationUpdateT makeUpdate(std::uint64_t number, const std::string& zone, bool is_evacuated) {
  wire::EvacuationUpdateT update;
  update.number = number;
  auto record = std::make_shared<wire::EvacuationRecordT>();
  record->zone = zone;
  record->is_evacuated = is_evacuated;
  record->number = number;
  update.records.push_back(std::move(record));
  return update;
}

}  // namespace

TEST_CASE("a zone is evacuated until a newer update ends the evacuation") {
  ZoneEvacuations evacuations;
  CHECK(evacuations.apply(makeUpdate(1, "zone-a", true)));
  CHECK(evacuations.isEvacuated("zone-a"));
  CHECK_FALSE(evacuations.isEvacuated("zone-b"));
  CHECK(evacuations.apply(makeUpdate(2, "zone-a", false)));
  CHECK_FALSE(evacuations.isEvacuated("zone-a"));
}

TEST_CASE("a late evacuation update is ignored") {
  ZoneEvacuations evacuations;
  evacuations.apply(makeUpdate(2, "zone-a", false));
  CHECK_FALSE(evacuations.apply(makeUpdate(1, "zone-a", true)));
  CHECK_FALSE(evacuations.isEvacuated("zone-a"));
  CHECK(evacuations.number() == 2);
}

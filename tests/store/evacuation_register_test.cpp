#include "store/evacuation_register.h"

#include <catch2/catch.hpp>

#include "store/state_machine.h"

namespace cometstand::store {
namespace {

wire::EvacuationOrderT makeOrder(const std::string& zone, bool is_evacuated) {
  wire::EvacuationOrderT order;
  order.zone = zone;
  order.is_evacuated = is_evacuated;
  return order;
}

std::vector<std::uint8_t> makeEntry(const wire::EvacuationOrderT& order) {
  wire::StoreCommandBatchT batch;
  auto command = std::make_shared<wire::StoreCommandT>();
  command->body.Set(wire::EvacuationOrderT(order));
  batch.commands.push_back(std::move(command));
  return encodeBatch(batch);
}

}  // namespace

TEST_CASE("an order evacuates a zone and a second order ends the evacuation") {
  EvacuationRegister zones;
  CHECK_FALSE(zones.isEvacuated("a"));
  CHECK(zones.apply(makeOrder("a", true)) == EvacuationResult::Changed);
  CHECK(zones.isEvacuated("a"));
  CHECK_FALSE(zones.isEvacuated("b"));
  CHECK(zones.apply(makeOrder("a", false)) == EvacuationResult::Changed);
  CHECK_FALSE(zones.isEvacuated("a"));
  CHECK(zones.lastNumber() == 2);
}

TEST_CASE("an order for a zone that is already in the ordered state changes nothing") {
  EvacuationRegister zones;
  CHECK(zones.apply(makeOrder("a", false)) == EvacuationResult::Unchanged);
  CHECK(zones.lastNumber() == 0);
  zones.apply(makeOrder("a", true));
  CHECK(zones.apply(makeOrder("a", true)) == EvacuationResult::Unchanged);
  CHECK(zones.lastNumber() == 1);
  CHECK(zones.count() == 1);
}

TEST_CASE("several zones can be evacuated at the same time") {
  EvacuationRegister zones;
  zones.apply(makeOrder("a", true));
  zones.apply(makeOrder("b", true));
  zones.apply(makeOrder("a", false));
  CHECK(zones.count() == 1);
  const auto update = zones.makeUpdate();
  CHECK(update.number == 3);
  CHECK(update.records.size() == 2);
}

TEST_CASE("evacuations are restored from a snapshot") {
  StateMachine state;
  state.apply(makeEntry(makeOrder("a", true)));
  state.apply(makeEntry(makeOrder("b", true)));
  state.apply(makeEntry(makeOrder("a", false)));
  StateMachine copy;
  copy.restore(state.save());
  CHECK(copy.evacuations().isEvacuated("b"));
  CHECK_FALSE(copy.evacuations().isEvacuated("a"));
  CHECK(copy.evacuations().lastNumber() == 3);
  CHECK(copy.save() == state.save());
}

}  // namespace cometstand::store

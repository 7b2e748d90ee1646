#include "store/rollout_register.h"

#include <catch2/catch.hpp>

#include "store/state_machine.h"

namespace cometstand::store {
namespace {

using Phase = wire::RolloutPhase;

wire::RolloutOrderT makeOrder(const std::string& version = "v2", std::uint32_t duration_ms = 12'000) {
  wire::RolloutOrderT order;
  order.service = "desk";
  order.version = version;
  order.duration_ms = duration_ms;
  return order;
}

wire::RolloutStepT makeStep(std::uint64_t number, Phase phase, std::uint32_t elapsed_ms = 0) {
  wire::RolloutStepT step;
  step.service = "desk";
  step.number = number;
  step.phase = phase;
  step.elapsed_ms = elapsed_ms;
  return step;
}

}  // namespace

TEST_CASE("a service has one roll-out in progress at a time, and a duplicate of its order changes nothing") {
  RolloutRegister rollouts;
  CHECK(rollouts.apply(makeOrder()) == RolloutResult::Accepted);
  const auto changes = rollouts.changeCount();
  CHECK(rollouts.apply(makeOrder()) == RolloutResult::Accepted);
  CHECK(rollouts.changeCount() == changes);
  CHECK(rollouts.apply(makeOrder("v3")) == RolloutResult::Conflict);
  CHECK(rollouts.apply(makeOrder("v2", 9'000)) == RolloutResult::Conflict);
  CHECK(rollouts.find("desk")->version == "v2");
  auto other = makeOrder("v7");
  other.service = "vault";
  CHECK(rollouts.apply(other) == RolloutResult::Accepted);
}

TEST_CASE(
    "after a roll-out ends, an equal order is a duplicate if it may be one, and otherwise starts a new "
    "roll-out") {
  RolloutRegister rollouts;
  rollouts.apply(makeOrder());
  rollouts.apply(makeStep(1, Phase::RollingBack));
  rollouts.apply(makeStep(1, Phase::RolledBack));
  auto duplicate = makeOrder();
  duplicate.may_repeat = true;
  CHECK(rollouts.apply(duplicate) == RolloutResult::Accepted);
  CHECK(rollouts.find("desk")->phase == Phase::RolledBack);
  CHECK(rollouts.apply(makeOrder()) == RolloutResult::Accepted);
  CHECK(rollouts.find("desk")->number == 2);
  CHECK(rollouts.find("desk")->phase == Phase::Canary);
}

TEST_CASE("phases only advance, and a finished roll-out never changes") {
  RolloutRegister rollouts;
  rollouts.apply(makeOrder());
  CHECK(rollouts.apply(makeStep(1, Phase::Succeeded)) == RolloutResult::Stale);
  CHECK(rollouts.apply(makeStep(2, Phase::Promoting)) == RolloutResult::Stale);
  CHECK(rollouts.apply(makeStep(1, Phase::Promoting)) == RolloutResult::Accepted);
  CHECK(rollouts.apply(makeStep(1, Phase::Canary)) == RolloutResult::Stale);
  CHECK(rollouts.apply(makeStep(1, Phase::Succeeded)) == RolloutResult::Accepted);
  for (const auto phase : {Phase::Canary, Phase::Promoting, Phase::RollingBack, Phase::RolledBack})
    CHECK(rollouts.apply(makeStep(1, phase)) == RolloutResult::Stale);
  CHECK(rollouts.find("desk")->phase == Phase::Succeeded);
}

TEST_CASE("the elapsed time never decreases") {
  RolloutRegister rollouts;
  rollouts.apply(makeOrder());
  rollouts.apply(makeStep(1, Phase::Canary, 3'000));
  rollouts.apply(makeStep(1, Phase::Canary, 1'000));
  CHECK(rollouts.find("desk")->elapsed_ms == 3'000);
}

TEST_CASE("roll-outs survive a snapshot, as does a state without any") {
  StateMachine state;
  const auto apply = [&state](auto command) {
    wire::StoreCommandBatchT batch;
    auto shared_command = std::make_shared<wire::StoreCommandT>();
    shared_command->body.Set(std::move(command));
    batch.commands.push_back(shared_command);
    return std::get<RolloutResult>(state.apply(encodeBatch(batch)).front());
  };
  StateMachine empty;
  empty.restore(state.save());
  CHECK(empty.rollouts().all().empty());
  CHECK(apply(makeOrder()) == RolloutResult::Accepted);
  CHECK(apply(makeStep(1, Phase::Canary, 1'500)) == RolloutResult::Accepted);
  StateMachine restored;
  restored.restore(state.save());
  CHECK(restored.save() == state.save());
  CHECK(restored.rollouts().find("desk")->elapsed_ms == 1'500);
  CHECK(restored.rollouts().find("desk")->step == 1);
}

}  // namespace cometstand::store

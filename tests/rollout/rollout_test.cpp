// Roll-outs with the real stores and sidecars under faults, checked against the requests that targets
// receive.
#include <catch2/catch.hpp>

#include "rollout_mesh.h"

namespace cometstand::rollout::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Phase = wire::RolloutPhase;

constexpr Duration kDuration = seconds(12);
/// Operators' requirements on a faulty version: it receives at most this share of the requests plus this
/// number, and no request later than this time after its 50th faulty response.
constexpr double kMaxNewVersionShare = 0.1;
constexpr double kNewVersionRequestAllowance = 50;
constexpr Duration kMaxRollbackTime = seconds(5);

void checkGuarantees(const RolloutMesh& mesh, const Behaviour& behaviour) {
  CHECK(mesh.observed.old_version_requests_after_success == 0);
  CHECK(mesh.observed.new_version_requests_after_rollback == 0);
  if (!behaviour.isFaulty()) return;
  const double bound = kMaxNewVersionShare * static_cast<double>(mesh.observed.requests_since_order) +
                       kNewVersionRequestAllowance;
  CHECK(static_cast<double>(mesh.observed.new_version_requests_since_order) <= bound);
  if (mesh.observed.fiftieth_faulty_response_at)
    CHECK(mesh.observed.last_new_version_request_at <=
          *mesh.observed.fiftieth_faulty_response_at + kMaxRollbackTime);
}

Behaviour failing(double share) {
  Behaviour behaviour;
  behaviour.failure_share = share;
  return behaviour;
}

Behaviour slow(double factor) {
  Behaviour behaviour;
  behaviour.run_time_factor = factor;
  return behaviour;
}

/// @return a random behaviour; half of the versions have no fault.
Behaviour randomBehaviour(RandomSource& random) {
  if (random.uniform(0, 1) == 0) return {};
  Behaviour behaviour;
  if (random.uniform(0, 2) == 0) {
    behaviour.run_time_factor = static_cast<double>(random.uniform(3, 6));
  } else {
    behaviour.failure_share = static_cast<double>(random.uniform(25, 90)) / 100;
  }
  if (random.uniform(0, 3) == 0) behaviour.fault_route = "read";
  if (random.uniform(0, 3) == 0) behaviour.fault_min_load = 2;
  return behaviour;
}

/// Schedules a crash or a partition of a random process at a random time, and its recovery.
void scheduleRandomFault(RolloutMesh& mesh, RandomSource& random) {
  const TimePoint begin = mesh.network.now() + random.uniform(milliseconds(100), milliseconds(11'000));
  const TimePoint end = begin + random.uniform(milliseconds(300), milliseconds(4'000));
  const bool is_partition = random.uniform(0, 1) == 0;
  const std::uint64_t group_index = random.uniform(0, 2);
  const auto index = static_cast<std::size_t>(random.uniform(0, 2));
  mesh.network.at(begin, [&mesh, is_partition, group_index, index, end] {
    const auto& group = group_index == 0   ? mesh.stores()
                        : group_index == 1 ? mesh.old_sidecars
                                           : mesh.new_sidecars;
    if (index >= group.size() || !mesh.network.isRunning(group[index])) return;
    const ProcessId id = group[index];
    if (is_partition) {
      if (group_index != 0) mesh.partitioned.insert(id);
      mesh.network.partition(id);
      mesh.network.at(end, [&mesh, id] { mesh.network.heal(id); });
    } else {
      mesh.network.crash(id);
      mesh.network.at(end, [&mesh, id] { mesh.network.start(id); });
    }
  });
}

/// Runs one roll-out of a version with random behaviour under random faults.
void runRandomRollout(std::uint64_t seed) {
  RandomSource random(seed);
  const auto behaviour = randomBehaviour(random);
  RolloutMesh mesh(seed, behaviour);
  mesh.order(kDuration);
  const std::uint64_t faults = random.uniform(1, 3);
  for (std::uint64_t i = 0; i < faults; ++i) scheduleRandomFault(mesh, random);
  mesh.runFor(kDuration + seconds(8));
  const auto phase = mesh.phase();
  INFO("seed " << seed << ", bad: " << behaviour.isFaulty() << ", reason: " << mesh.reason());
  CHECK((phase == Phase::Succeeded || phase == Phase::RolledBack));
  if (behaviour.isFaulty()) CHECK(phase == Phase::RolledBack);
  checkGuarantees(mesh, behaviour);
}

}  // namespace

TEST_CASE("the guarantees of a roll-out hold under random faults") {
  runRandomRollout(GENERATE(range(1, 13)));
}

// Guards against a leader that is elected during the promotion and does not know which versions its
// predecessor has closed.
TEST_CASE("the guarantees of a roll-out hold for seeds that failed before") {
  runRandomRollout(GENERATE(345, 351, 483));
}

TEST_CASE("the guarantees of a roll-out hold under random faults for many seeds", "[.][hunt]") {
  runRandomRollout(GENERATE(range(100, 500)));
}

TEST_CASE("a version without a fault is promoted in time and the old version then has no requests") {
  RolloutMesh mesh(GENERATE(range(1, 6)), Behaviour());
  mesh.order(kDuration);
  mesh.runFor(kDuration - milliseconds(200));
  INFO(mesh.reason());
  CHECK(mesh.phase() == Phase::Succeeded);
  mesh.runFor(seconds(3));
  checkGuarantees(mesh, Behaviour());
}

TEST_CASE("a faulty version is rolled back in time for every kind of fault") {
  const auto behaviour = GENERATE(
      failing(0.2), failing(0.9), slow(3), slow(6),
      [] {
        auto late = failing(0.5);
        late.fault_delay = seconds(6);
        return late;
      }(),
      [] {
        auto loaded = failing(0.6);
        loaded.fault_min_load = 2;
        return loaded;
      }(),
      [] {
        auto one_route = failing(0.5);
        one_route.fault_route = "write";
        return one_route;
      }());
  RolloutMesh mesh(GENERATE(1, 2), behaviour);
  mesh.order(kDuration);
  mesh.runFor(kDuration - milliseconds(200));
  INFO(mesh.reason());
  CHECK(mesh.phase() == Phase::RolledBack);
  mesh.runFor(seconds(3));
  checkGuarantees(mesh, behaviour);
}

TEST_CASE("a roll-out ends in the right phase when the leader crashes during it") {
  const auto behaviour = GENERATE(Behaviour(), failing(0.4));
  const Duration fault_time = milliseconds(GENERATE(200, 2'000, 4'500, 6'500, 7'300, 7'500));
  RolloutMesh mesh(3, behaviour);
  mesh.order(kDuration);
  mesh.runFor(fault_time);
  const auto leader = mesh.leader();
  REQUIRE(leader);
  mesh.network.crash(*leader);
  mesh.runFor(seconds(2));
  mesh.network.start(*leader);
  mesh.runFor(kDuration);
  INFO(mesh.reason());
  CHECK(mesh.phase() == (behaviour.isFaulty() ? Phase::RolledBack : Phase::Succeeded));
  checkGuarantees(mesh, behaviour);
}

TEST_CASE("an acknowledged roll-out survives a crash of all stores") {
  RolloutMesh mesh(4, Behaviour());
  mesh.order(kDuration);
  mesh.runFor(seconds(3));
  for (const auto id : mesh.stores()) mesh.network.crash(id);
  mesh.runFor(seconds(1));
  for (const auto id : mesh.stores()) mesh.network.start(id);
  mesh.runFor(seconds(3));
  CHECK(mesh.phase().has_value());
  mesh.runFor(kDuration);
  CHECK((mesh.phase() == Phase::Succeeded || mesh.phase() == Phase::RolledBack));
  checkGuarantees(mesh, Behaviour());
}

// Guards against a newly started leader that knows no targets yet: no target is then unconfirmed, and the new
// version's zero slots suffice for the old version's zero slots, so that it would report success.
TEST_CASE("success is not reported too early when all stores crash during a promotion") {
  Behaviour behaviour;
  behaviour.long_run_every = 100;
  behaviour.long_run_time = seconds(6);
  behaviour.route_timeout = seconds(7);
  const Duration rollout_duration = seconds(20);
  const Duration fault_time = milliseconds(GENERATE(15'300, 16'000));
  const Duration partition_time = milliseconds(GENERATE(0, 1'000, 2'000));
  RolloutMesh mesh(GENERATE(6, 7), behaviour);
  mesh.order(rollout_duration);
  mesh.runFor(mesh.ordered_at + fault_time - mesh.network.now());
  REQUIRE(mesh.phase() == Phase::Promoting);
  for (const auto id : mesh.stores()) mesh.network.crash(id);
  // The sidecars of the old version connect to the stores later than the others.
  for (const auto id : mesh.old_sidecars) mesh.network.partition(id);
  mesh.runFor(milliseconds(200));
  for (const auto id : mesh.stores()) mesh.network.start(id);
  mesh.runFor(partition_time);
  for (const auto id : mesh.old_sidecars) mesh.network.heal(id);
  mesh.runFor(rollout_duration);
  INFO(mesh.reason());
  CHECK((mesh.phase() == Phase::Succeeded || mesh.phase() == Phase::RolledBack));
  checkGuarantees(mesh, behaviour);
}

// Guards against taking a lost target for idle. The stores close the link of a partitioned sidecar after some
// seconds and remove its endpoint record two seconds later; runs at its target may last longer than both.
TEST_CASE("a target whose sidecar is partitioned is not taken for idle before its runs must have ended") {
  Behaviour behaviour;
  behaviour.long_run_every = 50;
  behaviour.long_run_time = seconds(14);
  behaviour.route_timeout = seconds(15);
  const Duration rollout_duration = seconds(40);
  const Duration before_promotion = milliseconds(GENERATE(6'500, 8'000, 10'000));
  RolloutMesh mesh(GENERATE(8, 9), behaviour);
  const auto id = mesh.old_sidecars.at(2);
  mesh.long_runs_at = id;
  mesh.order(rollout_duration);
  mesh.runFor(seconds(35) - before_promotion);
  mesh.partitioned.insert(id);
  mesh.network.partition(id);
  const auto begun_before = mesh.runsAt(id);
  REQUIRE_FALSE(begun_before.empty());
  const auto is_over = [&mesh] {
    return mesh.phase() == Phase::Succeeded || mesh.phase() == Phase::RolledBack;
  };
  while (!is_over() && mesh.network.now() < mesh.ordered_at + rollout_duration + seconds(5))
    mesh.runFor(milliseconds(5));
  REQUIRE(is_over());
  if (mesh.phase() == Phase::RolledBack) return;
  std::size_t left = 0;
  for (const auto run : mesh.runsAt(id)) left += begun_before.count(run);
  CHECK(left == 0);
}

TEST_CASE("a target that was lost long before the promotion does not delay it") {
  RolloutMesh mesh(GENERATE(10, 11), Behaviour());
  mesh.order(kDuration);
  mesh.runFor(seconds(1));
  mesh.network.crash(mesh.old_sidecars.at(2));
  mesh.runFor(kDuration - seconds(1));
  INFO(mesh.reason());
  CHECK(mesh.phase() == Phase::Succeeded);
}

TEST_CASE("a roll-out ends, and a faulty version is rolled back, when a sidecar is partitioned") {
  const auto behaviour = GENERATE(Behaviour(), failing(0.4));
  const bool is_old = GENERATE(true, false);
  const Duration fault_time = milliseconds(GENERATE(1'500, 5'000, 7'300));
  RolloutMesh mesh(5, behaviour);
  mesh.order(kDuration);
  mesh.runFor(fault_time);
  const auto id = (is_old ? mesh.old_sidecars : mesh.new_sidecars).at(2);
  mesh.network.partition(id);
  mesh.runFor(seconds(4));
  mesh.network.heal(id);
  mesh.runFor(kDuration);
  INFO(mesh.reason());
  const auto phase = mesh.phase();
  CHECK((phase == Phase::Succeeded || phase == Phase::RolledBack));
  if (behaviour.isFaulty()) CHECK(phase == Phase::RolledBack);
  CHECK(mesh.observed.new_version_requests_after_rollback == 0);
}

}  // namespace cometstand::rollout::test

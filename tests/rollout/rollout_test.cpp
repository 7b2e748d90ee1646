// Roll-outs of versions by the real stores and sidecars, with faults, against what targets see.
#include <catch2/catch.hpp>

#include "rollout_mesh.h"

namespace cometstand::rollout::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Phase = wire::RolloutPhase;

constexpr Duration kDuration = seconds(12);
/// Operators' bounds: share and number of requests for a bad version, and the time after its 50th bad answer.
constexpr double kExposureShare = 0.1;
constexpr double kExposureSlack = 50;
constexpr Duration kRollbackTime = seconds(5);

void checkPromises(const RolloutMesh& mesh, const Behaviour& behaviour) {
  CHECK(mesh.observed.at_old_after_success == 0);
  CHECK(mesh.observed.at_new_after_rollback == 0);
  if (!behaviour.isBad()) return;
  const double bound = kExposureShare * static_cast<double>(mesh.observed.all_since_order) + kExposureSlack;
  CHECK(static_cast<double>(mesh.observed.new_since_order) <= bound);
  if (mesh.observed.fiftieth_bad)
    CHECK(mesh.observed.last_new <= *mesh.observed.fiftieth_bad + kRollbackTime);
}

Behaviour failing(double share) {
  Behaviour behaviour;
  behaviour.failing = share;
  return behaviour;
}

Behaviour slow(double factor) {
  Behaviour behaviour;
  behaviour.slowness = factor;
  return behaviour;
}

/// @return a behaviour by the seed: half of the versions are good.
Behaviour drawBehaviour(RandomSource& random) {
  if (random.uniform(0, 1) == 0) return {};
  Behaviour behaviour;
  if (random.uniform(0, 2) == 0) {
    behaviour.slowness = static_cast<double>(random.uniform(3, 6));
  } else {
    behaviour.failing = static_cast<double>(random.uniform(25, 90)) / 100;
  }
  if (random.uniform(0, 3) == 0) behaviour.bad_route = "read";
  if (random.uniform(0, 3) == 0) behaviour.bad_from_load = 2;
  return behaviour;
}

/// Something ends or is cut off at a drawn moment, and comes back.
void drawFault(RolloutMesh& mesh, RandomSource& random) {
  const TimePoint begin = mesh.network.now() + random.uniform(milliseconds(100), milliseconds(11'000));
  const TimePoint end = begin + random.uniform(milliseconds(300), milliseconds(4'000));
  const bool is_cut = random.uniform(0, 1) == 0;
  const std::uint64_t which = random.uniform(0, 2);
  const auto number = static_cast<std::size_t>(random.uniform(0, 2));
  mesh.network.at(begin, [&mesh, is_cut, which, number, end] {
    const auto& group = which == 0 ? mesh.stores() : which == 1 ? mesh.old_sidecars : mesh.new_sidecars;
    if (number >= group.size() || !mesh.network.isRunning(group[number])) return;
    const ProcessId id = group[number];
    if (is_cut) {
      if (which != 0) mesh.cut_off.insert(id);
      mesh.network.cut(id);
      mesh.network.at(end, [&mesh, id] { mesh.network.mend(id); });
    } else {
      mesh.network.crash(id);
      mesh.network.at(end, [&mesh, id] { mesh.network.start(id); });
    }
  });
}

/// One roll-out with a drawn version and drawn faults.
void playSeed(std::uint64_t seed) {
  RandomSource random(seed);
  const auto behaviour = drawBehaviour(random);
  RolloutMesh mesh(seed, behaviour);
  mesh.order(kDuration);
  const std::uint64_t faults = random.uniform(1, 3);
  for (std::uint64_t i = 0; i < faults; ++i) drawFault(mesh, random);
  mesh.runFor(kDuration + seconds(8));
  const auto phase = mesh.phase();
  INFO("seed " << seed << ", bad: " << behaviour.isBad() << ", reason: " << mesh.reason());
  CHECK((phase == Phase::Succeeded || phase == Phase::RolledBack));
  if (behaviour.isBad()) CHECK(phase == Phase::RolledBack);
  checkPromises(mesh, behaviour);
}

}  // namespace

TEST_CASE("promises hold under drawn faults") { playSeed(GENERATE(range(1, 13))); }

// A leader that came during the promotion forgot the versions that its predecessor had closed.
TEST_CASE("promises hold under drawn faults, seeds that failed once") { playSeed(GENERATE(345, 351, 483)); }

TEST_CASE("promises hold under drawn faults, many seeds", "[.][hunt]") {
  playSeed(GENERATE(range(100, 500)));
}

TEST_CASE("a good version is promoted in time, and nothing is left at the old one") {
  RolloutMesh mesh(GENERATE(range(1, 6)), Behaviour());
  mesh.order(kDuration);
  mesh.runFor(kDuration - milliseconds(200));
  INFO(mesh.reason());
  CHECK(mesh.phase() == Phase::Succeeded);
  mesh.runFor(seconds(3));
  checkPromises(mesh, Behaviour());
}

TEST_CASE("a bad version is rolled back in time, whatever is bad about it") {
  const auto behaviour = GENERATE(
      failing(0.2), failing(0.9), slow(3), slow(6),
      [] {
        auto late = failing(0.5);
        late.bad_after = seconds(6);
        return late;
      }(),
      [] {
        auto loaded = failing(0.6);
        loaded.bad_from_load = 2;
        return loaded;
      }(),
      [] {
        auto one_route = failing(0.5);
        one_route.bad_route = "write";
        return one_route;
      }());
  RolloutMesh mesh(GENERATE(1, 2), behaviour);
  mesh.order(kDuration);
  mesh.runFor(kDuration - milliseconds(200));
  INFO(mesh.reason());
  CHECK(mesh.phase() == Phase::RolledBack);
  mesh.runFor(seconds(3));
  checkPromises(mesh, behaviour);
}

TEST_CASE("a roll-out ends well though the leader dies at any moment") {
  const auto behaviour = GENERATE(Behaviour(), failing(0.4));
  const Duration moment = milliseconds(GENERATE(200, 2'000, 4'500, 6'500, 7'300, 7'500));
  RolloutMesh mesh(3, behaviour);
  mesh.order(kDuration);
  mesh.runFor(moment);
  const auto leader = mesh.leader();
  REQUIRE(leader);
  mesh.network.crash(*leader);
  mesh.runFor(seconds(2));
  mesh.network.start(*leader);
  mesh.runFor(kDuration);
  INFO(mesh.reason());
  CHECK(mesh.phase() == (behaviour.isBad() ? Phase::RolledBack : Phase::Succeeded));
  checkPromises(mesh, behaviour);
}

TEST_CASE("what was acknowledged is there after all stores have died") {
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
  checkPromises(mesh, Behaviour());
}

// A leader that had just started knew no target, so none was unconfirmed, and no slots sufficed for no slots.
TEST_CASE("no success is said too early though all stores die during a promotion") {
  Behaviour behaviour;
  behaviour.long_run_every = 100;
  behaviour.long_run_time = seconds(6);
  behaviour.route_timeout = seconds(7);
  const Duration whole = seconds(20);
  const Duration moment = milliseconds(GENERATE(15'300, 16'000));
  const Duration unlinked = milliseconds(GENERATE(0, 1'000, 2'000));
  RolloutMesh mesh(GENERATE(6, 7), behaviour);
  mesh.order(whole);
  mesh.runFor(mesh.ordered_at + moment - mesh.network.now());
  REQUIRE(mesh.phase() == Phase::Promoting);
  for (const auto id : mesh.stores()) mesh.network.crash(id);
  // The old targets' sidecars link themselves later than the others.
  for (const auto id : mesh.old_sidecars) mesh.network.cut(id);
  mesh.runFor(milliseconds(200));
  for (const auto id : mesh.stores()) mesh.network.start(id);
  mesh.runFor(unlinked);
  for (const auto id : mesh.old_sidecars) mesh.network.mend(id);
  mesh.runFor(whole);
  INFO(mesh.reason());
  CHECK((mesh.phase() == Phase::Succeeded || mesh.phase() == Phase::RolledBack));
  checkPromises(mesh, behaviour);
}

// Its link to the stores ends some seconds after the cut, and its record goes two seconds later; what its
// target runs may last longer than both.
TEST_CASE("a target whose sidecar is cut off is not taken for idle before its runs can have ended") {
  Behaviour behaviour;
  behaviour.long_run_every = 50;
  behaviour.long_run_time = seconds(14);
  behaviour.route_timeout = seconds(15);
  const Duration whole = seconds(40);
  const Duration before_promotion = milliseconds(GENERATE(6'500, 8'000, 10'000));
  RolloutMesh mesh(GENERATE(8, 9), behaviour);
  const auto id = mesh.old_sidecars.at(2);
  mesh.long_runs_at = id;
  mesh.order(whole);
  mesh.runFor(seconds(35) - before_promotion);
  mesh.cut_off.insert(id);
  mesh.network.cut(id);
  const auto begun_before = mesh.runsAt(id);
  REQUIRE_FALSE(begun_before.empty());
  const auto is_over = [&mesh] {
    return mesh.phase() == Phase::Succeeded || mesh.phase() == Phase::RolledBack;
  };
  while (!is_over() && mesh.network.now() < mesh.ordered_at + whole + seconds(5))
    mesh.runFor(milliseconds(5));
  REQUIRE(is_over());
  if (mesh.phase() == Phase::RolledBack) return;
  std::size_t left = 0;
  for (const auto run : mesh.runsAt(id)) left += begun_before.count(run);
  CHECK(left == 0);
}

TEST_CASE("a target that was lost long before the promotion holds it up no more") {
  RolloutMesh mesh(GENERATE(10, 11), Behaviour());
  mesh.order(kDuration);
  mesh.runFor(seconds(1));
  mesh.network.crash(mesh.old_sidecars.at(2));
  mesh.runFor(kDuration - seconds(1));
  INFO(mesh.reason());
  CHECK(mesh.phase() == Phase::Succeeded);
}

TEST_CASE("a sidecar that is cut off does no harm") {
  const auto behaviour = GENERATE(Behaviour(), failing(0.4));
  const bool is_old = GENERATE(true, false);
  const Duration moment = milliseconds(GENERATE(1'500, 5'000, 7'300));
  RolloutMesh mesh(5, behaviour);
  mesh.order(kDuration);
  mesh.runFor(moment);
  const auto id = (is_old ? mesh.old_sidecars : mesh.new_sidecars).at(2);
  mesh.network.cut(id);
  mesh.runFor(seconds(4));
  mesh.network.mend(id);
  mesh.runFor(kDuration);
  INFO(mesh.reason());
  const auto phase = mesh.phase();
  CHECK((phase == Phase::Succeeded || phase == Phase::RolledBack));
  if (behaviour.isBad()) CHECK(phase == Phase::RolledBack);
  CHECK(mesh.observed.at_new_after_rollback == 0);
}

}  // namespace cometstand::rollout::test

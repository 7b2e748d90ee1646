// Requests that end the targets that run them, by the real stores and sidecars.
#include <algorithm>
#include <catch2/catch.hpp>

#include "crash_mesh.h"

namespace cometstand::quarantine::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kPoison = "/read/poison";
/// Operators' bound: after the third end of a target and this time, so many more runs at most.
constexpr Duration kLearningTime = seconds(3);
constexpr std::size_t kMostRunsAfterwards = 3;

void checkPromises(CrashMesh& mesh, const std::string& path) {
  CHECK(mesh.begunAfterThirdEnd(path, kLearningTime) <= kMostRunsAfterwards);
}

}  // namespace

TEST_CASE("a request that ended three targets is not run any more, wherever and under whatever id it comes") {
  const auto seed = GENERATE(range<std::uint64_t>(1, 4));
  CrashMesh mesh(seed);
  mesh.poison(kPoison);
  mesh.keepSending(kPoison, milliseconds(400));
  mesh.runFor(seconds(40));
  INFO("seed " << seed << ", ended " << mesh.at(kPoison).ended.size());
  CHECK(mesh.at(kPoison).ended.size() >= 3);
  checkPromises(mesh, kPoison);
  CHECK(mesh.innocents().quarantined == 0);
}

TEST_CASE("copies of one request that come together are known within the time all the same") {
  const auto seed = GENERATE(range<std::uint64_t>(1, 4));
  CrashMesh mesh(seed);
  mesh.poison(kPoison);
  mesh.keepSending(kPoison, milliseconds(25));
  mesh.runFor(seconds(20));
  INFO("seed " << seed << ", ended " << mesh.at(kPoison).ended.size());
  checkPromises(mesh, kPoison);
  CHECK(mesh.innocents().quarantined == 0);
}

TEST_CASE("who varies the query of a request that ends targets is known by its path") {
  CrashMesh mesh(1);
  std::size_t ended = 0;
  for (int i = 0; i < 60; ++i) {
    const std::string path = std::string(kPoison) + "?try=" + std::to_string(i);
    mesh.poison(path);
    mesh.sendOnce(path);
    mesh.runFor(milliseconds(300));
    ended += mesh.at(path).ended.size();
  }
  CHECK(ended >= 3);
  CHECK(ended <= 12);
}

TEST_CASE(
    "what is known outlasts the end of all processes, and a sidecar that starts has it before it serves") {
  CrashMesh mesh(2);
  mesh.poison(kPoison);
  mesh.keepSending(kPoison, milliseconds(200));
  mesh.runFor(seconds(8));
  const auto ended = mesh.at(kPoison).ended.size();
  REQUIRE(ended >= 3);
  for (const auto id : mesh.sidecars) mesh.network.crash(id);
  for (const auto id : mesh.stores()) mesh.network.crash(id);
  mesh.runFor(seconds(1));
  for (const auto id : mesh.stores()) mesh.network.start(id);
  for (const auto id : mesh.sidecars) mesh.network.start(id);
  mesh.runFor(seconds(20));
  CHECK(mesh.at(kPoison).ended.size() == ended);
  checkPromises(mesh, kPoison);
}

TEST_CASE("a sidecar that was cut off from all others neither passes it on afterwards nor runs it") {
  CrashMesh mesh(3);
  const auto cut_off = mesh.sidecars.back();
  mesh.network.cut(cut_off);
  mesh.runFor(seconds(2));
  mesh.poison(kPoison);
  mesh.keepSending(kPoison, milliseconds(200));
  mesh.runFor(seconds(10));
  const auto ended = mesh.at(kPoison).ended.size();
  REQUIRE(ended >= 3);
  mesh.network.mend(cut_off);
  mesh.runFor(seconds(5));
  const auto begun = mesh.at(kPoison).begun.size();
  mesh.runFor(seconds(15));
  CHECK(mesh.at(kPoison).begun.size() == begun);
}

TEST_CASE("a leader that ends while targets end loses no crash that counts") {
  const auto seed = GENERATE(range<std::uint64_t>(1, 6));
  CrashMesh mesh(seed);
  mesh.poison(kPoison);
  mesh.keepSending(kPoison, milliseconds(300));
  mesh.runFor(milliseconds(300 + 100 * seed));
  const auto leader = mesh.leader();
  REQUIRE(leader);
  mesh.network.crash(*leader);
  mesh.runFor(seconds(5));
  mesh.network.start(*leader);
  mesh.runFor(seconds(25));
  INFO("seed " << seed << ", ended " << mesh.at(kPoison).ended.size());
  checkPromises(mesh, kPoison);
}

TEST_CASE("targets that end together convict none of the requests that they had") {
  const auto seed = GENERATE(range<std::uint64_t>(1, 4));
  CrashMesh mesh(seed);
  for (int i = 0; i < 6; ++i) {
    mesh.crashTargets(4);
    mesh.runFor(seconds(8));
  }
  CHECK(mesh.innocents().quarantined == 0);
  CHECK(mesh.innocents().answered > 1'000);
}

TEST_CASE("a request that has ended targets is served again once it runs to its end") {
  CrashMesh mesh(4);
  mesh.poison(kPoison);
  mesh.sendOnce(kPoison);
  mesh.runFor(seconds(1));
  const auto ended = mesh.at(kPoison).ended.size();
  REQUIRE(ended >= 1);
  REQUIRE(ended < 3);
  mesh.cure(kPoison);
  for (int i = 0; i < 20; ++i) {
    mesh.sendOnce(kPoison);
    mesh.runFor(milliseconds(500));
  }
  CHECK(mesh.at(kPoison).quarantined == 0);
  CHECK(mesh.at(kPoison).answered >= 18);
}

TEST_CASE("machines that stand still while targets end pass nothing on from what they knew before") {
  const auto seed = GENERATE(range<std::uint64_t>(1, 6));
  CrashMesh mesh(seed);
  mesh.poison(kPoison);
  mesh.keepSending(kPoison, milliseconds(200));
  mesh.runFor(milliseconds(100 * seed));
  const auto leader = mesh.leader();
  REQUIRE(leader);
  mesh.network.suspend(*leader, seconds(4));
  for (std::size_t i = 0; i < 3; ++i) mesh.network.suspend(mesh.sidecars.at(i), seconds(5));
  mesh.runFor(seconds(25));
  INFO("seed " << seed << ", ended " << mesh.at(kPoison).ended.size());
  checkPromises(mesh, kPoison);
}

TEST_CASE("many seeds with leaders, stores and sidecars that end", "[.][hunt]") {
  const auto seed = GENERATE(range<std::uint64_t>(100, 300));
  CrashMesh mesh(seed);
  RandomSource random(seed);
  mesh.poison(kPoison);
  mesh.keepSending(kPoison, random.uniform(milliseconds(30), milliseconds(900)));
  for (int i = 0; i < 6; ++i) {
    mesh.runFor(random.uniform(milliseconds(100), milliseconds(5'000)));
    const auto& from = random.uniform(0, 2) == 0 ? mesh.stores() : mesh.sidecars;
    const auto id = from.at(random.uniform(0, from.size() - 1));
    const auto fault = random.uniform(0, 2);
    if (fault == 0) mesh.network.cut(id);
    if (fault == 1) mesh.network.crash(id);
    if (fault == 2) mesh.network.suspend(id, random.uniform(milliseconds(500), milliseconds(6'000)));
    mesh.runFor(random.uniform(milliseconds(100), milliseconds(3'000)));
    mesh.network.mend(id);
    if (!mesh.network.isRunning(id)) mesh.network.start(id);
    if (random.uniform(0, 3) == 0) mesh.crashTargets(random.uniform(1, 4));
  }
  mesh.runFor(seconds(8));
  const auto innocents = mesh.innocents();
  WARN("seed " << seed << " ended " << mesh.at(kPoison).ended.size() << " begun afterwards "
               << mesh.begunAfterThirdEnd(kPoison, kLearningTime) << " innocents answered "
               << innocents.answered << " failed " << innocents.failed << " quarantined "
               << innocents.quarantined);
  checkPromises(mesh, kPoison);
  CHECK(innocents.quarantined == 0);
}

/// Prints how long it takes until every sidecar refuses, by the number of sidecars.
TEST_CASE("time until all sidecars know", "[.][scale]") {
  const auto count = GENERATE(as<std::size_t>(), 30, 100, 300);
  MeshShape shape;
  shape.sidecars = count;
  shape.call_interval = milliseconds(25) * static_cast<int>(count) / 8;
  CrashMesh mesh(1, shape);
  mesh.poison(kPoison);
  mesh.keepSending(kPoison, milliseconds(400));
  while (mesh.at(kPoison).ended.size() < 3) mesh.runFor(milliseconds(1));
  const TimePoint third = mesh.network.now();
  const auto knows = [&mesh](ProcessId id) { return mesh.sidecarAt(id).quarantine().quarantined() > 0; };
  while (!std::all_of(mesh.sidecars.begin(), mesh.sidecars.end(), knows)) mesh.runFor(milliseconds(1));
  const Duration took = mesh.network.now() - third;
  WARN(count << " sidecars: all knew " << ceilMilliseconds(took) << " ms after the third end");
  CHECK(took < kLearningTime);
}

/// Prints what a way to judge costs: docs/design/quarantine.md compares some by it.
TEST_CASE("cost for innocents beside crashes of every kind", "[.][compare]") {
  constexpr std::uint64_t kSeeds = 30;
  std::size_t ended = 0;
  std::size_t most_ended = 0;
  CrashMesh::PathRecord sum;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CrashMesh mesh(seed);
    RandomSource random(seed);
    mesh.poison(kPoison);
    mesh.keepSending(kPoison, milliseconds(400));
    for (int i = 0; i < 15; ++i) {
      mesh.runFor(random.uniform(milliseconds(500), milliseconds(7'000)));
      mesh.crashTargets(random.uniform(1, 5));
      // One that never comes twice with the same body, so that nobody can know it again.
      const std::string unique = "/write/poison-" + std::to_string(i);
      mesh.poison(unique);
      mesh.sendOnce(unique);
    }
    ended += mesh.at(kPoison).ended.size();
    most_ended = std::max(most_ended, mesh.at(kPoison).ended.size());
    const auto innocents = mesh.innocents();
    sum.answered += innocents.answered;
    sum.failed += innocents.failed;
    sum.not_run += innocents.not_run;
    sum.quarantined += innocents.quarantined;
  }
  WARN("targets ended by the request: mean " << static_cast<double>(ended) / kSeeds << ", most " << most_ended
                                             << "; innocents: answered " << sum.answered << ", failed "
                                             << sum.failed << ", not run " << sum.not_run << ", quarantined "
                                             << sum.quarantined);
}

}  // namespace cometstand::quarantine::test

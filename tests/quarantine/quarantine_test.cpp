// Tests with the real stores and sidecars in which certain requests crash the targets that run them.
#include <algorithm>
#include <catch2/catch.hpp>

#include "crash_mesh.h"

namespace cometstand::quarantine::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kPoison = "/read/poison";
/// Required limit: once this time has passed since the third crash of a target, at most kMaxRunsAfterwards
/// more runs of the request may begin.
constexpr Duration kQuarantineDelayLimit = seconds(3);
constexpr std::size_t kMaxRunsAfterwards = 3;

void checkRunsAfterwards(CrashMesh& mesh, const std::string& path) {
  CHECK(mesh.begunAfterThirdCrash(path, kQuarantineDelayLimit) <= kMaxRunsAfterwards);
}

}  // namespace

TEST_CASE("a request that crashed three targets is no longer run, at any sidecar and under any request id") {
  const auto seed = GENERATE(range<std::uint64_t>(1, 4));
  CrashMesh mesh(seed);
  mesh.poison(kPoison);
  mesh.sendRepeatedly(kPoison, milliseconds(400));
  mesh.runFor(seconds(40));
  INFO("seed " << seed << ", ended " << mesh.at(kPoison).ended.size());
  CHECK(mesh.at(kPoison).ended.size() >= 3);
  checkRunsAfterwards(mesh, kPoison);
  CHECK(mesh.harmlessRequests().quarantined == 0);
}

TEST_CASE("copies of one request that arrive at a high rate are quarantined within the same time") {
  const auto seed = GENERATE(range<std::uint64_t>(1, 4));
  CrashMesh mesh(seed);
  mesh.poison(kPoison);
  mesh.sendRepeatedly(kPoison, milliseconds(25));
  mesh.runFor(seconds(20));
  INFO("seed " << seed << ", ended " << mesh.at(kPoison).ended.size());
  checkRunsAfterwards(mesh, kPoison);
  CHECK(mesh.harmlessRequests().quarantined == 0);
}

TEST_CASE("requests that crash targets with varying queries are quarantined by their path") {
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
    "the quarantine survives the crash of all processes, and a sidecar that starts has it before it serves") {
  CrashMesh mesh(2);
  mesh.poison(kPoison);
  mesh.sendRepeatedly(kPoison, milliseconds(200));
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
  checkRunsAfterwards(mesh, kPoison);
}

TEST_CASE(
    "a sidecar that was partitioned from all others neither forwards nor runs a quarantined request "
    "afterwards") {
  CrashMesh mesh(3);
  const auto cut_off = mesh.sidecars.back();
  mesh.network.partition(cut_off);
  mesh.runFor(seconds(2));
  mesh.poison(kPoison);
  mesh.sendRepeatedly(kPoison, milliseconds(200));
  mesh.runFor(seconds(10));
  const auto ended = mesh.at(kPoison).ended.size();
  REQUIRE(ended >= 3);
  mesh.network.heal(cut_off);
  mesh.runFor(seconds(5));
  const auto begun = mesh.at(kPoison).begun.size();
  mesh.runFor(seconds(15));
  CHECK(mesh.at(kPoison).begun.size() == begun);
}

TEST_CASE(
    "the crash of the leader while targets crash loses no crash report that is needed for the quarantine") {
  const auto seed = GENERATE(range<std::uint64_t>(1, 6));
  CrashMesh mesh(seed);
  mesh.poison(kPoison);
  mesh.sendRepeatedly(kPoison, milliseconds(300));
  mesh.runFor(milliseconds(300 + 100 * seed));
  const auto leader = mesh.leader();
  REQUIRE(leader);
  mesh.network.crash(*leader);
  mesh.runFor(seconds(5));
  mesh.network.start(*leader);
  mesh.runFor(seconds(25));
  INFO("seed " << seed << ", ended " << mesh.at(kPoison).ended.size());
  checkRunsAfterwards(mesh, kPoison);
}

TEST_CASE("simultaneous crashes of targets quarantine none of the requests that ran there") {
  const auto seed = GENERATE(range<std::uint64_t>(1, 4));
  CrashMesh mesh(seed);
  for (int i = 0; i < 6; ++i) {
    mesh.crashTargets(4);
    mesh.runFor(seconds(8));
  }
  CHECK(mesh.harmlessRequests().quarantined == 0);
  CHECK(mesh.harmlessRequests().answered > 1'000);
}

TEST_CASE("a request that crashed targets is served again once it no longer crashes them") {
  CrashMesh mesh(4);
  mesh.poison(kPoison);
  mesh.sendOnce(kPoison);
  mesh.runFor(seconds(1));
  const auto ended = mesh.at(kPoison).ended.size();
  REQUIRE(ended >= 1);
  REQUIRE(ended < 3);
  mesh.removePoison(kPoison);
  for (int i = 0; i < 20; ++i) {
    mesh.sendOnce(kPoison);
    mesh.runFor(milliseconds(500));
  }
  CHECK(mesh.at(kPoison).quarantined == 0);
  CHECK(mesh.at(kPoison).answered >= 18);
}

TEST_CASE("machines that are suspended while targets crash do not forward quarantined requests afterwards") {
  const auto seed = GENERATE(range<std::uint64_t>(1, 6));
  CrashMesh mesh(seed);
  mesh.poison(kPoison);
  mesh.sendRepeatedly(kPoison, milliseconds(200));
  mesh.runFor(milliseconds(100 * seed));
  const auto leader = mesh.leader();
  REQUIRE(leader);
  mesh.network.suspend(*leader, seconds(4));
  for (std::size_t i = 0; i < 3; ++i) mesh.network.suspend(mesh.sidecars.at(i), seconds(5));
  mesh.runFor(seconds(25));
  INFO("seed " << seed << ", ended " << mesh.at(kPoison).ended.size());
  checkRunsAfterwards(mesh, kPoison);
}

TEST_CASE("random partitions, crashes and suspensions of stores and sidecars", "[.][hunt]") {
  const auto seed = GENERATE(range<std::uint64_t>(100, 300));
  CrashMesh mesh(seed);
  RandomSource random(seed);
  mesh.poison(kPoison);
  mesh.sendRepeatedly(kPoison, random.uniform(milliseconds(30), milliseconds(900)));
  for (int i = 0; i < 6; ++i) {
    mesh.runFor(random.uniform(milliseconds(100), milliseconds(5'000)));
    const auto& from = random.uniform(0, 2) == 0 ? mesh.stores() : mesh.sidecars;
    const auto id = from.at(random.uniform(0, from.size() - 1));
    const auto fault = random.uniform(0, 2);
    if (fault == 0) mesh.network.partition(id);
    if (fault == 1) mesh.network.crash(id);
    if (fault == 2) mesh.network.suspend(id, random.uniform(milliseconds(500), milliseconds(6'000)));
    mesh.runFor(random.uniform(milliseconds(100), milliseconds(3'000)));
    mesh.network.heal(id);
    if (!mesh.network.isRunning(id)) mesh.network.start(id);
    if (random.uniform(0, 3) == 0) mesh.crashTargets(random.uniform(1, 4));
  }
  mesh.runFor(seconds(8));
  const auto harmless = mesh.harmlessRequests();
  WARN("seed " << seed << " ended " << mesh.at(kPoison).ended.size() << " begun afterwards "
               << mesh.begunAfterThirdCrash(kPoison, kQuarantineDelayLimit) << " harmless requests answered "
               << harmless.answered << " failed " << harmless.failed << " quarantined "
               << harmless.quarantined);
  checkRunsAfterwards(mesh, kPoison);
  CHECK(harmless.quarantined == 0);
}

/// Prints the time until every sidecar refuses the request, by the number of sidecars.
TEST_CASE("time until all sidecars have the quarantine", "[.][scale]") {
  const auto count = GENERATE(as<std::size_t>(), 30, 100, 300);
  MeshShape shape;
  shape.sidecars = count;
  shape.call_interval = milliseconds(25) * static_cast<int>(count) / 8;
  CrashMesh mesh(1, shape);
  mesh.poison(kPoison);
  mesh.sendRepeatedly(kPoison, milliseconds(400));
  while (mesh.at(kPoison).ended.size() < 3) mesh.runFor(milliseconds(1));
  const TimePoint third = mesh.network.now();
  const auto has_quarantine = [&mesh](ProcessId id) {
    return mesh.sidecarAt(id).quarantine().quarantined() > 0;
  };
  while (!std::all_of(mesh.sidecars.begin(), mesh.sidecars.end(), has_quarantine))
    mesh.runFor(milliseconds(1));
  const Duration took = mesh.network.now() - third;
  WARN(count << " sidecars: all have the quarantine " << ceilMilliseconds(took)
             << " ms after the third crash");
  CHECK(took < kQuarantineDelayLimit);
}

/// Prints the cost of a quarantine rule; docs/design/quarantine.md compares several rules by this output.
TEST_CASE("cost for harmless requests during crashes of every kind", "[.][compare]") {
  constexpr std::uint64_t kSeeds = 30;
  std::size_t ended = 0;
  std::size_t max_ended = 0;
  CrashMesh::PathRecord sum;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CrashMesh mesh(seed);
    RandomSource random(seed);
    mesh.poison(kPoison);
    mesh.sendRepeatedly(kPoison, milliseconds(400));
    for (int i = 0; i < 15; ++i) {
      mesh.runFor(random.uniform(milliseconds(500), milliseconds(7'000)));
      mesh.crashTargets(random.uniform(1, 5));
      // Each of these requests is unique, so that it cannot be recognized a second time.
      const std::string unique = "/write/poison-" + std::to_string(i);
      mesh.poison(unique);
      mesh.sendOnce(unique);
    }
    ended += mesh.at(kPoison).ended.size();
    max_ended = std::max(max_ended, mesh.at(kPoison).ended.size());
    const auto harmless = mesh.harmlessRequests();
    sum.answered += harmless.answered;
    sum.failed += harmless.failed;
    sum.not_run += harmless.not_run;
    sum.quarantined += harmless.quarantined;
  }
  WARN("targets ended by the request: mean "
       << static_cast<double>(ended) / kSeeds << ", maximum " << max_ended << "; harmless requests: answered "
       << sum.answered << ", failed " << sum.failed << ", not run " << sum.not_run << ", quarantined "
       << sum.quarantined);
}

}  // namespace cometstand::quarantine::test

// Rate limits that targets state in their responses, with real stores and sidecars on a simulated network.
#include <catch2/catch.hpp>

#include "base/event_log.h"
#include "statement_checks.h"

namespace cometstand::limits::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// About half of what all targets can serve.
constexpr double kCalls = 240;
/// The smallest share of a limit that must be used while the offered load exceeds it.
constexpr double kUsedShare = 0.7;

void checkClean(const StatementMesh& mesh) {
  checkStatements(mesh);
  CHECK(mesh.checker().limitedArrivals() > 0);
}

}  // namespace

TEST_CASE("targets that named a limit get no more than it allows from all sidecars together", "[limits]") {
  setLogLevel(LogLevel::Error);
  const auto seed = GENERATE(range<std::uint64_t>(1, 4));
  INFO("seed " << seed);
  StatementMesh mesh(seed, kCalls);
  mesh.runFor(seconds(2));
  mesh.setLimit(1, 5.6);
  mesh.setLimit(4, 3.2);
  mesh.runFor(seconds(12));
  checkClean(mesh);
}

TEST_CASE("a limited target gets most of what it takes, and the others serve the rest", "[limits]") {
  setLogLevel(LogLevel::Error);
  const auto seed = GENERATE(range<std::uint64_t>(1, 4));
  INFO("seed " << seed);
  StatementMesh mesh(seed, kCalls);
  mesh.runFor(seconds(2));
  mesh.setLimit(1, 5.6);
  mesh.runFor(seconds(4));
  const TimePoint begin = mesh.network.now();
  const std::size_t refused = mesh.refused();
  const std::size_t answered = mesh.answered();
  mesh.runFor(seconds(10));
  CHECK(static_cast<double>(countSince(mesh.arrivals(1), begin)) >= kUsedShare * 56);
  // The other targets have room for twice the load.
  CHECK(mesh.refused() - refused <= (mesh.answered() - answered) / 100);
}

TEST_CASE("a lifted limit is used up again within seconds, also one of no requests at all", "[limits]") {
  setLogLevel(LogLevel::Error);
  const double limit = GENERATE(0.0, 0.05, 4.0);
  INFO("limit " << limit);
  StatementMesh mesh(7, kCalls);
  mesh.runFor(seconds(2));
  mesh.setLimit(1, limit);
  mesh.runFor(seconds(10));
  checkClean(mesh);
  mesh.setLimit(1, std::nullopt);
  mesh.runFor(seconds(10));
  const TimePoint begin = mesh.network.now();
  mesh.runFor(seconds(2));
  // A sixth of 480 requests, less what closer endpoints get.
  CHECK(countSince(mesh.arrivals(1), begin) >= 40);
}

TEST_CASE("limits hold while they change each second", "[limits]") {
  setLogLevel(LogLevel::Error);
  const auto seed = GENERATE(range<std::uint64_t>(1, 4));
  INFO("seed " << seed);
  StatementMesh mesh(seed, kCalls);
  mesh.runFor(seconds(2));
  for (const double limit : {64.0, 0.7, 64.0, 3.0, 20.0, 0.7, 5.0, 64.0, 0.7, 0.7, 0.7}) {
    mesh.setLimit(3, limit);
    mesh.runFor(seconds(1));
  }
  checkClean(mesh);
}

TEST_CASE("a limit holds while the sidecar beside its target restarts again and again", "[limits]") {
  setLogLevel(LogLevel::Error);
  const auto seed = GENERATE(range<std::uint64_t>(1, 6));
  INFO("seed " << seed);
  StatementMesh mesh(seed, kCalls);
  mesh.runFor(seconds(2));
  mesh.setLimit(1, 0.5);
  mesh.runFor(seconds(5));
  for (int restart = 0; restart < 12; ++restart) {
    mesh.restartSidecar(1, milliseconds(100));
    mesh.runFor(milliseconds(900));
  }
  checkClean(mesh);
}

TEST_CASE("a target that starts again under its id has no limit until it names one", "[limits]") {
  setLogLevel(LogLevel::Error);
  StatementMesh mesh(5, kCalls);
  mesh.runFor(seconds(2));
  mesh.setLimit(1, 1);
  mesh.runFor(seconds(6));
  mesh.restartTarget(1);
  mesh.runFor(seconds(4));
  const TimePoint begin = mesh.network.now();
  mesh.runFor(seconds(2));
  CHECK(countSince(mesh.arrivals(1), begin) >= 40);
  checkClean(mesh);
}

TEST_CASE("while all targets are limited, what is beyond their limits is refused at once", "[limits]") {
  setLogLevel(LogLevel::Error);
  StatementMesh mesh(6, kCalls);
  mesh.runFor(seconds(2));
  for (MachineNumber machine = 0; machine < StatementMesh::kMachines; ++machine) mesh.setLimit(machine, 8);
  mesh.runFor(seconds(4));
  const std::size_t answered = mesh.answered();
  mesh.runFor(seconds(10));
  checkClean(mesh);
  CHECK(static_cast<double>(mesh.answered() - answered) >= kUsedShare * 8 * 10 * StatementMesh::kMachines);
  CHECK(mesh.longestRefusal() <= milliseconds(100));
}

}  // namespace cometstand::limits::test

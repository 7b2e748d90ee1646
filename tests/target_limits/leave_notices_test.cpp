// Leave notices that targets state in their responses, with real stores and sidecars on a simulated network.
#include <catch2/catch.hpp>

#include "base/event_log.h"
#include "statement_checks.h"

namespace cometstand::limits::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kCalls = 240;

}  // namespace

TEST_CASE("a target that states that it leaves gets no requests while its heartbeats still say ready",
          "[limits]") {
  setLogLevel(LogLevel::Error);
  const auto seed = GENERATE(range<std::uint64_t>(1, 4));
  INFO("seed " << seed);
  StatementMesh mesh(seed, kCalls);
  mesh.runFor(seconds(2));
  mesh.leave(2);
  mesh.runFor(seconds(2));
  const TimePoint left = mesh.network.now();
  mesh.runFor(seconds(6));
  checkStatements(mesh);
  CHECK(countSince(mesh.arrivals(2), left) == 0);
}

TEST_CASE("a leave notice holds while the sidecar beside the target restarts and its heartbeats say ready",
          "[limits]") {
  setLogLevel(LogLevel::Error);
  const auto seed = GENERATE(range<std::uint64_t>(1, 6));
  INFO("seed " << seed);
  StatementMesh mesh(seed, kCalls);
  mesh.runFor(seconds(2));
  mesh.leave(2);
  mesh.runFor(seconds(3));
  for (int restart = 0; restart < 4; ++restart) {
    mesh.restartSidecar(2, milliseconds(200));
    mesh.runFor(milliseconds(1'500));
  }
  checkStatements(mesh);
}

TEST_CASE("a leave notice holds while all stores are down", "[limits]") {
  setLogLevel(LogLevel::Error);
  StatementMesh mesh(3, kCalls);
  mesh.runFor(seconds(2));
  mesh.restartStores(seconds(6));
  mesh.leave(2);
  mesh.runFor(seconds(10));
  checkStatements(mesh);
}

TEST_CASE("a target that starts again under its id after it left gets requests", "[limits]") {
  setLogLevel(LogLevel::Error);
  StatementMesh mesh(4, kCalls);
  mesh.runFor(seconds(2));
  mesh.leave(2);
  mesh.runFor(seconds(4));
  mesh.restartTarget(2);
  mesh.runFor(seconds(4));
  const TimePoint begin = mesh.network.now();
  mesh.runFor(seconds(2));
  CHECK(countSince(mesh.arrivals(2), begin) >= 40);
  checkStatements(mesh);
}

}  // namespace cometstand::limits::test

// Targets that announce their shutdown by heartbeats or by deregistration, with real stores and sidecars on a
// simulated network and drawn faults.
#include <catch2/catch.hpp>
#include <cstdlib>

#include "base/event_log.h"
#include "statement_checks.h"

namespace cometstand::limits::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kCalls = 240;
constexpr std::uint64_t kSeedsInCi = 16;
/// Set it to a number of seeds for a longer run by hand.
constexpr const char* kSeedsVariable = "COMETSTAND_SHUTDOWN_SEEDS";

std::uint64_t seedCount() {
  const char* text = std::getenv(kSeedsVariable);
  return text == nullptr ? kSeedsInCi : std::strtoull(text, nullptr, 10);
}

void checkShutdowns(const StatementMesh& mesh) {
  for (const auto& violation : mesh.shutdowns().violations()) FAIL_CHECK(violation);
}

/// Injects drawn faults and announcements, some of which overlap.
class FaultInjector {
 public:
  FaultInjector(StatementMesh& mesh, std::uint64_t seed) : mesh_(mesh), random_(seed) {}

  void runFor(Duration time) {
    for (const TimePoint end = mesh_.network.now() + time; mesh_.network.now() < end;) {
      injectOne();
      mesh_.runFor(random_.uniform(Duration(milliseconds(20)), Duration(milliseconds(900))));
    }
    mesh_.runFor(seconds(8));
  }

 private:
  void injectOne() {
    // Few machines, so that faults meet announcements.
    const MachineNumber machine = random_.uniform(0, 2);
    switch (random_.uniform(0, 11)) {
      case 0:
      case 1:
        return mesh_.announceDraining(machine);
      case 2:
      case 3:
        return mesh_.deregister(machine);
      case 4:
        return mesh_.restartTarget(machine);
      case 5:
      case 6:
        return mesh_.restartSidecar(machine, drawTime());
      case 7:
        return mesh_.stopSidecar(machine);
      case 8:
        return mesh_.suspendSidecar(machine, drawTime());
      case 9:
        return mesh_.cutOff(machine, drawTime());
      case 10:
        return mesh_.resetLinks(machine);
      default:
        return random_.uniform(0, 1) == 0 ? mesh_.restartStores(drawTime())
                                          : mesh_.restartEverything(drawTime());
    }
  }
  Duration drawTime() { return random_.uniform(Duration(milliseconds(50)), Duration(seconds(3))); }

  StatementMesh& mesh_;
  RandomSource random_;
};

}  // namespace

TEST_CASE("a target whose announced shutdown was acknowledged gets no requests under drawn faults",
          "[limits]") {
  setLogLevel(LogLevel::Error);
  std::size_t acknowledged = 0;
  for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
    INFO("seed " << seed);
    StatementMesh mesh(seed, kCalls);
    mesh.delayHeartbeats();
    FaultInjector(mesh, seed).runFor(seconds(25));
    checkShutdowns(mesh);
    CHECK(mesh.answered() > 0);
    acknowledged += mesh.shutdowns().acknowledged();
  }
  CHECK(acknowledged >= seedCount());
}

TEST_CASE("a target that starts again after its announced shutdown gets requests soon, also after restarts",
          "[limits]") {
  setLogLevel(LogLevel::Error);
  StatementMesh mesh(5, kCalls);
  mesh.runFor(seconds(2));
  mesh.deregister(2);
  mesh.runFor(seconds(3));
  REQUIRE(mesh.shutdowns().acknowledged() == 1);
  mesh.restartTarget(2);
  mesh.restartEverything(milliseconds(300));
  mesh.runFor(seconds(4));
  const TimePoint begin = mesh.network.now();
  mesh.runFor(seconds(2));
  CHECK(countSince(mesh.arrivals(2), begin) >= 40);
  checkShutdowns(mesh);
}

TEST_CASE("an announced shutdown is not acknowledged while all stores are down, and is once they are back",
          "[limits]") {
  setLogLevel(LogLevel::Error);
  StatementMesh mesh(6, kCalls);
  mesh.runFor(seconds(2));
  mesh.restartStores(seconds(5));
  mesh.deregister(2);
  mesh.runFor(seconds(4));
  CHECK(mesh.shutdowns().acknowledged() == 0);
  mesh.runFor(seconds(4));
  CHECK(mesh.shutdowns().acknowledged() == 1);
}

TEST_CASE("targets get requests again soon after all sidecars restart", "[limits]") {
  setLogLevel(LogLevel::Error);
  StatementMesh mesh(7, kCalls);
  mesh.runFor(seconds(2));
  for (MachineNumber machine = 0; machine < StatementMesh::kMachines; ++machine)
    mesh.restartSidecar(machine, milliseconds(100));
  mesh.runFor(milliseconds(1'200));
  const TimePoint begin = mesh.network.now();
  mesh.runFor(seconds(1));
  for (MachineNumber machine = 0; machine < StatementMesh::kMachines; ++machine)
    CHECK(countSince(mesh.arrivals(machine), begin) > 0);
}

}  // namespace cometstand::limits::test

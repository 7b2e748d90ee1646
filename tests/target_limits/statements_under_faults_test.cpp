// Drawn faults while targets state limits and leave, with real stores and sidecars on a simulated network.
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
constexpr const char* kSeedsVariable = "COMETSTAND_LIMIT_SEEDS";

std::uint64_t seedCount() {
  const char* text = std::getenv(kSeedsVariable);
  return text == nullptr ? kSeedsInCi : std::strtoull(text, nullptr, 10);
}

/// Injects drawn faults and statements, some of which overlap.
class FaultInjector {
 public:
  FaultInjector(StatementMesh& mesh, std::uint64_t seed) : mesh_(mesh), random_(seed) {}

  void runFor(Duration time) {
    for (const TimePoint end = mesh_.network.now() + time; mesh_.network.now() < end;) {
      injectOne();
      mesh_.runFor(random_.uniform(Duration(milliseconds(50)), Duration(milliseconds(900))));
    }
    mesh_.runFor(seconds(8));
  }

 private:
  void injectOne() {
    const MachineNumber machine = random_.uniform(0, StatementMesh::kMachines - 1);
    switch (random_.uniform(0, 10)) {
      case 0:
      case 1:
        return mesh_.setLimit(machine, drawLimit());
      case 2:
        return mesh_.setLimit(machine, std::nullopt);
      case 3:
        return mesh_.leave(machine);
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
      default:
        return random_.uniform(0, 3) == 0 ? mesh_.restartStores(drawTime()) : mesh_.resetLinks(machine);
    }
  }
  double drawLimit() { return static_cast<double>(random_.uniform(0, 200)) / 10; }
  Duration drawTime() { return random_.uniform(Duration(milliseconds(100)), Duration(seconds(3))); }

  StatementMesh& mesh_;
  RandomSource random_;
};

}  // namespace

TEST_CASE("statements of targets hold under drawn faults", "[limits]") {
  setLogLevel(LogLevel::Error);
  for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
    INFO("seed " << seed);
    StatementMesh mesh(seed, kCalls);
    FaultInjector(mesh, seed).runFor(seconds(20));
    checkStatements(mesh);
    CHECK(mesh.answered() > 0);
  }
}

}  // namespace cometstand::limits::test

// Targets that announce their shutdown by heartbeats or by deregistration, beside the platform's programs as
// real processes.
#include <array>
#include <catch2/catch.hpp>
#include <csignal>
#include <sstream>

#include "base/event_log.h"
#include "base/random.h"
#include "platform_processes/environment_number.h"
#include "platform_processes/platform_mesh.h"
#include "rehearsal/fleet/wait_until.h"

namespace cometstand::platform {
namespace {

using rehearsal::pauseFor;
using rehearsal::waitUntil;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// The target that leaves; the other one serves on.
constexpr std::size_t kZone = 0;
constexpr std::size_t kOtherZone = 1;
/// Time from the acknowledgement within which requests may still arrive.
constexpr Duration kDrainTime = seconds(2);
/// Time for which a target is watched after the last fault has ended.
constexpr Duration kWatchTime = seconds(4);
constexpr Duration kDownTime = milliseconds(500);
constexpr Duration kSidecarExitLimit = seconds(10);

enum class Leave { Draining, Deregistered };

enum class Fault {
  None,
  SidecarKilled,
  SidecarStopped,
  SidecarSuspended,
  AllSidecarsKilled,
  AllStoresKilled,
  AllProcessesKilled,
  LeaderKilled,
};

constexpr std::uint64_t kSeedsInCi = 4;
/// Set them for a longer run by hand: the number of seeds, and the first one.
constexpr const char* kSeedsVariable = "COMETSTAND_LEAVE_SEEDS";
constexpr const char* kFirstSeedVariable = "COMETSTAND_LEAVE_FIRST_SEED";
constexpr std::uint64_t kDrawnFaults = 4;
constexpr Duration kMaxFaultPause = milliseconds(1'200);

std::uint64_t seedCount() { return numberFromEnvironment(kSeedsVariable, kSeedsInCi); }
std::uint64_t firstSeed() { return numberFromEnvironment(kFirstSeedVariable, 1); }

/// @return a fault after which all processes run.
Fault drawFault(RandomSource& random) {
  constexpr std::array kFaults{Fault::SidecarKilled,     Fault::SidecarKilled,   Fault::SidecarStopped,
                               Fault::SidecarSuspended,  Fault::AllStoresKilled, Fault::AllSidecarsKilled,
                               Fault::AllProcessesKilled};
  return kFaults.at(random.uniform(0, kFaults.size() - 1));
}

void announce(StandInTarget& target, Leave leave) {
  if (leave == Leave::Draining) {
    target.announceDraining();
  } else {
    target.deregister();
  }
}

void inject(PlatformMesh& mesh, Fault fault) {
  switch (fault) {
    case Fault::None:
      return;
    case Fault::SidecarKilled:
      return mesh.restartSidecar(kZone);
    case Fault::SidecarStopped:
      mesh.stopSidecar(kZone);
      mesh.waitForSidecarEnd(kZone, kSidecarExitLimit);
      return mesh.restartSidecar(kZone);
    case Fault::SidecarSuspended:
      mesh.suspendSidecar(kZone);
      pauseFor(kDrainTime + seconds(1));
      return mesh.resumeSidecar(kZone);
    case Fault::AllSidecarsKilled:
      return mesh.restartSidecars(false, kDownTime);
    case Fault::AllStoresKilled:
      return mesh.restartStores(kDownTime);
    case Fault::AllProcessesKilled:
      return mesh.restartSidecars(true, kDownTime);
    case Fault::LeaderKilled:
      return mesh.killStore(mesh.waitForLeader());
  }
}

/// @return the lines in which sidecars log leave notices and what they know about their targets.
std::string findNoticeLines(const std::string& logs) {
  std::istringstream lines(logs);
  std::string found;
  for (std::string line; std::getline(lines, line);) {
    const bool is_wanted =
        line.find("leave_notice") != std::string::npos || line.find("target_changed") != std::string::npos;
    if (is_wanted) found += line + '\n';
  }
  return found;
}

void waitForAcknowledgement(const StandInTarget& target) {
  waitUntil("the leave notice is acknowledged", [&] { return target.leaveAcknowledgedAt().has_value(); });
}

/// Checks the arrivals at the target from its acknowledged leave notice on, and that the mesh still serves.
void checkNothingArrives(PlatformMesh& mesh, const KeptConnections& callers) {
  for (std::size_t zone = 0; zone < PlatformMesh::kZones; ++zone) mesh.waitForReadiness(zone);
  const auto answered = callers.answered();
  pauseFor(kWatchTime);
  const auto& target = mesh.target(kZone);
  INFO(findNoticeLines(mesh.logs()));
  REQUIRE(target.leaveAcknowledgedAt());
  CHECK(target.arrivalsSince(*target.leaveAcknowledgedAt() + kDrainTime).empty());
  CHECK(callers.answered() > answered);
}

}  // namespace

TEST_CASE("a target that announced its shutdown gets no requests after processes restart",
          "[platform][processes]") {
  setLogLevel(LogLevel::Warning);
  const auto leave = GENERATE(Leave::Draining, Leave::Deregistered);
  const auto fault = GENERATE(Fault::None, Fault::SidecarKilled, Fault::SidecarStopped,
                              Fault::SidecarSuspended, Fault::AllSidecarsKilled, Fault::AllStoresKilled,
                              Fault::AllProcessesKilled, Fault::LeaderKilled);
  CAPTURE(static_cast<int>(leave), static_cast<int>(fault));
  PlatformMesh mesh;
  serveOneRoute(mesh);
  const KeptConnections callers(mesh);
  announce(mesh.target(kZone), leave);
  waitForAcknowledgement(mesh.target(kZone));
  inject(mesh, fault);
  checkNothingArrives(mesh, callers);
}

TEST_CASE("a delayed heartbeat that says ready does not undo an announced shutdown",
          "[platform][processes]") {
  setLogLevel(LogLevel::Warning);
  const auto leave = GENERATE(Leave::Draining, Leave::Deregistered);
  const auto fault = GENERATE(Fault::None, Fault::SidecarKilled, Fault::AllProcessesKilled);
  CAPTURE(static_cast<int>(leave), static_cast<int>(fault));
  PlatformMesh mesh;
  serveOneRoute(mesh);
  const KeptConnections callers(mesh);
  auto& target = mesh.target(kZone);
  announce(target, leave);
  waitForAcknowledgement(target);
  pauseFor(kDrainTime);
  inject(mesh, fault);
  for (int heartbeat = 0; heartbeat < 4; ++heartbeat) {
    target.sendDelayedHeartbeat();
    pauseFor(milliseconds(400));
  }
  checkNothingArrives(mesh, callers);
}

TEST_CASE("an announced shutdown is acknowledged only if it holds after the loss of all processes",
          "[platform][processes]") {
  setLogLevel(LogLevel::Warning);
  const auto leave = GENERATE(Leave::Draining, Leave::Deregistered);
  CAPTURE(static_cast<int>(leave));
  PlatformMesh mesh;
  serveOneRoute(mesh);
  const KeptConnections callers(mesh);
  auto& target = mesh.target(kZone);
  mesh.signalStores(SIGSTOP);
  announce(target, leave);
  pauseFor(milliseconds(1'500));
  mesh.restartSidecars(true, kDownTime);
  waitForAcknowledgement(target);
  checkNothingArrives(mesh, callers);
}

TEST_CASE(
    "a target that starts again under its id after it left gets requests, also after its sidecar restarts",
    "[platform][processes]") {
  setLogLevel(LogLevel::Warning);
  const auto leave = GENERATE(Leave::Draining, Leave::Deregistered);
  CAPTURE(static_cast<int>(leave));
  PlatformMesh mesh;
  serveOneRoute(mesh);
  const KeptConnections callers(mesh);
  auto& target = mesh.target(kZone);
  announce(target, leave);
  waitForAcknowledgement(target);
  pauseFor(kDrainTime);
  target.startAgain();
  const TimePoint started = SteadyClock::now();
  waitUntil("the new incarnation gets requests", [&] { return !target.arrivalsSince(started).empty(); });
  mesh.restartSidecar(kZone);
  const TimePoint restarted = SteadyClock::now();
  waitUntil("it gets requests after the restart", [&] { return !target.arrivalsSince(restarted).empty(); });
}

TEST_CASE(
    "a target gets no requests after its acknowledged shutdown if its sidecar restarts at drawn moments",
    "[platform][processes]") {
  setLogLevel(LogLevel::Warning);
  const auto seed = GENERATE(range<std::uint64_t>(1, 5));
  CAPTURE(seed);
  RandomSource random(seed);
  const auto leave = random.uniform(0, 1) == 0 ? Leave::Draining : Leave::Deregistered;
  PlatformMesh mesh;
  serveOneRoute(mesh);
  const KeptConnections callers(mesh);
  const bool comes_first = random.uniform(0, 1) == 0;
  if (comes_first) announce(mesh.target(kZone), leave);
  pauseFor(random.uniform(Duration::zero(), Duration(milliseconds(400))));
  mesh.restartSidecar(kZone);
  if (!comes_first) announce(mesh.target(kZone), leave);
  pauseFor(random.uniform(Duration::zero(), Duration(seconds(2))));
  mesh.restartSidecar(kZone);
  waitForAcknowledgement(mesh.target(kZone));
  mesh.restartSidecar(kZone);
  checkNothingArrives(mesh, callers);
  CHECK_FALSE(mesh.target(kOtherZone).arrivals().empty());
}

TEST_CASE("a target gets no requests after its acknowledged shutdown in drawn series of faults",
          "[platform][processes][drawn]") {
  setLogLevel(LogLevel::Warning);
  for (std::uint64_t seed = firstSeed(); seed < firstSeed() + seedCount(); ++seed) {
    CAPTURE(seed);
    RandomSource random(seed);
    PlatformMesh mesh;
    serveOneRoute(mesh);
    const KeptConnections callers(mesh);
    const auto leave = random.uniform(0, 1) == 0 ? Leave::Draining : Leave::Deregistered;
    const auto announced_at = random.uniform(0, kDrawnFaults - 1);
    for (std::uint64_t fault = 0; fault < kDrawnFaults; ++fault) {
      if (fault == announced_at) announce(mesh.target(kZone), leave);
      pauseFor(random.uniform(Duration::zero(), kMaxFaultPause));
      inject(mesh, drawFault(random));
      if (mesh.target(kZone).leaveAcknowledgedAt()) mesh.target(kZone).sendDelayedHeartbeat();
    }
    waitForAcknowledgement(mesh.target(kZone));
    checkNothingArrives(mesh, callers);
    CHECK_FALSE(mesh.target(kOtherZone).arrivals().empty());
  }
}

}  // namespace cometstand::platform

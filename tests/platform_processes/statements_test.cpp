// Limits and leave notices that targets state in their responses, by the platform's programs as real
// processes.
#include <catch2/catch.hpp>

#include "base/event_log.h"
#include "platform_processes/platform_mesh.h"
#include "rehearsal/fleet/wait_until.h"

namespace cometstand::platform {
namespace {

using rehearsal::pauseFor;
using rehearsal::waitUntil;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// The target that states something; the other one serves what it does not.
constexpr std::size_t kZone = 0;
constexpr Duration kWindow = seconds(4);
/// Time after a target first named a limit from which windows count.
constexpr Duration kLearnTime = seconds(3);
constexpr Duration kDrainTime = seconds(2);
constexpr const char* kLimit = "3";
/// 1.5 times what that limit allows in a window, and 5 more.
constexpr std::size_t kMostInWindow = 23;

enum class Fault { None, SidecarsKilled, SidecarSuspended, LeaderKilled, SidecarStopped };

void inject(PlatformMesh& mesh, Fault fault) {
  switch (fault) {
    case Fault::None:
      return;
    case Fault::SidecarsKilled:
      for (int restart = 0; restart < 3; ++restart) {
        mesh.restartSidecar(kZone);
        pauseFor(milliseconds(900));
      }
      return;
    case Fault::SidecarSuspended:
      mesh.suspendSidecar(kZone);
      pauseFor(seconds(2));
      mesh.resumeSidecar(kZone);
      return;
    case Fault::LeaderKilled:
      mesh.killStore(mesh.waitForLeader());
      return;
    case Fault::SidecarStopped:
      mesh.stopSidecar(kZone);
      mesh.waitForSidecarEnd(kZone, seconds(10));
      mesh.restartSidecar(kZone);
      return;
  }
}

}  // namespace

TEST_CASE("a target that names a limit gets no more than it allows, whatever stops, as real processes",
          "[platform][processes]") {
  setLogLevel(LogLevel::Warning);
  const auto fault = GENERATE(Fault::None, Fault::SidecarsKilled, Fault::SidecarSuspended,
                              Fault::LeaderKilled, Fault::SidecarStopped);
  INFO("fault " << static_cast<int>(fault));
  PlatformMesh mesh;
  serveOneRoute(mesh);
  const Press press(mesh);
  auto& target = mesh.target(kZone);
  target.nameLimit(kLimit);
  pauseFor(kLearnTime);
  const TimePoint begin = SteadyClock::now();
  inject(mesh, fault);
  pauseFor(seconds(5));
  const auto arrivals = target.arrivalsSince(begin);
  CHECK(mostInWindow(arrivals, kWindow) <= kMostInWindow);
  CHECK_FALSE(arrivals.empty());
  target.nameLimit("");
  const TimePoint lifted = SteadyClock::now();
  waitUntil("the target is used fully again",
            [&] { return mostInWindow(target.arrivalsSince(lifted), kWindow) > 2 * kMostInWindow; });
}

TEST_CASE("a target that says that it leaves gets no requests, whatever stops, as real processes",
          "[platform][processes]") {
  setLogLevel(LogLevel::Warning);
  const auto fault =
      GENERATE(Fault::None, Fault::SidecarsKilled, Fault::SidecarSuspended, Fault::SidecarStopped);
  INFO("fault " << static_cast<int>(fault));
  PlatformMesh mesh;
  serveOneRoute(mesh);
  const Press press(mesh);
  auto& target = mesh.target(kZone);
  target.sayLeaving();
  pauseFor(kDrainTime);
  const TimePoint begin = SteadyClock::now();
  inject(mesh, fault);
  pauseFor(kDrainTime + seconds(3));
  CHECK(target.arrivalsSince(begin).empty());
}

}  // namespace cometstand::platform

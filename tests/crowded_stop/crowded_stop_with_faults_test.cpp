// Planned stops of most sidecars at the same time behind a saturated uplink, combined with a further fault.
//
// A gate sends expedited answers in a fixed order with few unconfirmed bytes, so that an answer waits only
// for those before it. A confirmation that never arrives or arrives late must not delay the answers to
// others. The faults are sidecars that are cut off, connections that are reset, and a gate that is suspended
// for a second or stops itself.
#include "planned_stop/full_link.h"

namespace cometstand::sidecar::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kRequesters = 30;
constexpr std::size_t kStops = 20;
constexpr double kOverload = 3;
constexpr Duration kLoadTimeBeforeStops = seconds(6);
constexpr Duration kStopInterval = milliseconds(125);
/// Longer than the time limit of a planned stop.
constexpr Duration kStopTime = seconds(7);

/// Stops kStops sidecars in turn.
/// @param after_stop called after each stop with the index of the sidecar.
template <typename AfterStop>
void stopSidecars(FullLink& mesh, const AfterStop& after_stop) {
  mesh.runFor(kLoadTimeBeforeStops);
  for (std::size_t requester = 0; requester < kStops; ++requester) {
    mesh.stopRequester(requester);
    mesh.runFor(kStopInterval);
    after_stop(requester);
  }
  mesh.runFor(kStopTime);
}

void checkDelivered(const FullLink& mesh, std::size_t requester) {
  const auto& account = mesh.account(requester);
  INFO("requester " << requester << ": sent " << account.sent << ", answered " << account.answered
                    << ", refused " << account.refused << ", failed " << account.failed << ", cut "
                    << account.cut);
  REQUIRE(mesh.hasRequesterStopped(requester));
  CHECK(mesh.open(requester) == 0);
  CHECK(account.cut == 0);
  CHECK(account.failed == 0);
  CHECK(account.refused_though_run == 0);
}

void cutRequesters(std::uint64_t seed) {
  constexpr std::size_t kCutRequesters = 6;
  INFO("seed " << seed);
  FullLink mesh(seed, kRequesters, kOverload, FullLink::kConnectionWindow);
  stopSidecars(mesh, [&](std::size_t stopped) {
    if (stopped + 1 != kStops / 2) return;
    for (std::size_t requester = 0; requester < kCutRequesters; ++requester)
      mesh.disconnectRequester(requester);
  });
  for (std::size_t requester = kCutRequesters; requester < kStops; ++requester)
    checkDelivered(mesh, requester);
}

void pauseGate(std::uint64_t seed) {
  INFO("seed " << seed);
  FullLink mesh(seed, kRequesters, kOverload, FullLink::kConnectionWindow);
  stopSidecars(mesh, [&](std::size_t stopped) {
    if (stopped + 1 == kStops / 2) mesh.pauseGate(seconds(1));
  });
  for (std::size_t requester = 0; requester < kStops; ++requester) checkDelivered(mesh, requester);
}

void stopGateToo(std::uint64_t seed) {
  INFO("seed " << seed);
  FullLink mesh(seed, kRequesters, kOverload, FullLink::kConnectionWindow);
  stopSidecars(mesh, [&](std::size_t stopped) {
    if (stopped + 1 == kStops / 2) mesh.stopGate();
  });
  REQUIRE(mesh.gateHasStopped());
  CHECK(mesh.gateStopTime() <= SidecarOptions().processExitTime());
  for (std::size_t requester = 0; requester < kStops; ++requester) checkDelivered(mesh, requester);
}

void resetLinks(std::uint64_t seed) {
  constexpr std::size_t kResetRequesters = 4;
  INFO("seed " << seed);
  FullLink mesh(seed, kRequesters, kOverload, FullLink::kConnectionWindow);
  stopSidecars(mesh, [&](std::size_t stopped) {
    if (stopped % 3 != 0) return;
    for (std::size_t requester = 0; requester < kResetRequesters; ++requester) mesh.resetLink(requester);
  });
  // A request whose connection was reset may have run, so its caller gets a failure.
  for (std::size_t requester = 0; requester < kResetRequesters; ++requester) CHECK(mesh.open(requester) == 0);
  for (std::size_t requester = kResetRequesters; requester < kStops; ++requester)
    checkDelivered(mesh, requester);
}

}  // namespace

TEST_CASE("sidecars that are cut off during their stops do not delay the answers to others", "[stop]") {
  cutRequesters(GENERATE(range<std::uint64_t>(1, 6)));
}

TEST_CASE("a gate that is suspended for a second still delivers all answers to stopping sidecars", "[stop]") {
  pauseGate(GENERATE(range<std::uint64_t>(1, 6)));
}

TEST_CASE("a gate that stops along with most requesters delivers all of its answers within its time limit",
          "[stop]") {
  stopGateToo(GENERATE(range<std::uint64_t>(1, 6)));
}

TEST_CASE("connections that are reset during stops do not delay the answers to others", "[stop]") {
  resetLinks(GENERATE(range<std::uint64_t>(1, 6)));
}

TEST_CASE("stops with each kind of fault hold over 60 seeds", "[.][hunt]") {
  const auto seed = GENERATE(range<std::uint64_t>(1, 61));
  cutRequesters(seed);
  pauseGate(seed);
  stopGateToo(seed);
  resetLinks(seed);
}

}  // namespace cometstand::sidecar::test

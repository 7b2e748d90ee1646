// Planned stops of most sidecars at the same time while large answers saturate the uplink of one gate's
// machine.
//
// Guards against cut answers. A sidecar had a large read in flight when its planned stop began, or admitted
// one just after. The target ran the read in 200 ms, but the gate's uplink was full and two thirds of all
// sidecars were stopping in overlapping rounds. At the time limit, 5.9 s into the stop, the answer was half
// transferred and the caller's connection was closed without a complete answer.
//
// A gate sends answers as credit is granted, so that all answers share its uplink. Answers to a stopping
// sidecar are expedited; when most sidecars stop, every answer is expedited and none gains time. In a day of
// three overlapping rounds, three stops reached their time limit with `answers_arriving` at 1 or 2, although
// the gates that sent these answers were alive.
#include "planned_stop/full_link.h"

namespace cometstand::sidecar::test {
namespace {

constexpr std::size_t kRequesters = 30;
constexpr std::size_t kStops = 20;
constexpr double kOverload = 3;
constexpr Duration kLoadTimeBeforeStops = std::chrono::seconds(6);
constexpr Duration kStopInterval = std::chrono::milliseconds(125);
/// Longer than the time limit of a planned stop.
constexpr Duration kStopTime = std::chrono::seconds(7);

}  // namespace

TEST_CASE("sidecars that stop at the same time as most others deliver admitted requests or refuse at once",
          "[stop]") {
  const auto seed = GENERATE(range<std::uint64_t>(1, 6));
  INFO("seed " << seed);
  FullLink mesh(seed, kRequesters, kOverload, FullLink::kConnectionWindow);
  mesh.runFor(kLoadTimeBeforeStops);
  for (std::size_t requester = 0; requester < kStops; ++requester) {
    mesh.stopRequester(requester);
    mesh.runFor(kStopInterval);
  }
  mesh.runFor(kStopTime);
  for (std::size_t requester = 0; requester < kStops; ++requester) {
    const auto& account = mesh.account(requester);
    INFO("requester " << requester << ": sent " << account.sent << ", answered " << account.answered
                      << ", refused " << account.refused);
    REQUIRE(mesh.hasRequesterStopped(requester));
    CHECK(mesh.open(requester) == 0);
    CHECK(account.cut == 0);
    CHECK(account.failed == 0);
    CHECK(account.refused_though_run == 0);
  }
}

}  // namespace cometstand::sidecar::test

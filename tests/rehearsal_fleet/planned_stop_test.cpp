// SIGTERM of each kind of process under load, and a back end that leaves.
#include <catch2/catch.hpp>

#include "rehearsal/fleet/http_client.h"
#include "rehearsal/fleet/wait_until.h"
#include "rehearsal_fleet/small_fleet.h"

namespace cometstand::rehearsal {
namespace {

/// How long nothing new must have arrived at a leaving back end for the arrivals to count as over.
constexpr Duration kQuietTime = std::chrono::seconds(2);

/// Stops and restarts the member while load runs. @return what failed.
Violations stopUnderLoad(SmallFleet& fleet, Member& member) {
  Load load = fleet->startLoad("stop-" + member.name(), kTestRate);
  pauseFor(kTestLoadLead);
  const ProcessEnd end = member.stop();
  INFO(member.name());
  CHECK(end.exit_code == 0);
  CHECK(end.signal == 0);
  pauseFor(kTestLoadLead);
  auto violations = checkNoneFailed(load.finish());
  fleet->startMember(member);
  auto administrator = fleet->administrator();
  administrator.waitInForce(administrator.mustRun("show version"));
  return violations;
}

TEST_CASE("a planned stop of each kind of process fails no request", "[fleet][stop]") {
  SmallFleet fleet("planned-stop");
  checkNone(stopUnderLoad(fleet, fleet.proxy(kZoneA)));
  checkNone(stopUnderLoad(fleet, fleet.relay(kZoneA)));
  checkNone(stopUnderLoad(fleet, fleet->waitForLeader()));
}

TEST_CASE("a back end that leaves gets no new work and fails no request", "[fleet][stop]") {
  SmallFleet fleet("leaving");
  const Member& backend = *fleet->members(MemberRole::Backend).front();
  Load load = fleet->startLoad("leaving", kTestRate);
  waitUntil("the back end has work", [&] { return backendStats(backend).begun > 0; });
  // It runs what it gets, as one that knows nothing of its own stop; only its health tells.
  const auto told =
      askOverHttp(backend.port().endpoint(),
                  {"POST", "", "/control", R"({"leaving": true, "refuse_while_leaving": false})"});
  REQUIRE(told);
  REQUIRE(told->status == 200);
  std::uint64_t begun = backendStats(backend).begun;
  waitUntil("nothing new arrives at the leaving back end", [&] {
    pauseFor(kQuietTime);
    const std::uint64_t before = begun;
    begun = backendStats(backend).begun;
    return begun == before;
  });
  pauseFor(kQuietTime);
  CHECK(backendStats(backend).begun == begun);
  checkNone(checkNoneFailed(load.finish()));
}

}  // namespace
}  // namespace cometstand::rehearsal

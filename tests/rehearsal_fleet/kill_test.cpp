// kill -9 of each kind of process under load, and of all of them at once.
#include <catch2/catch.hpp>

#include "rehearsal/fleet/wait_until.h"
#include "rehearsal_fleet/small_fleet.h"

namespace cometstand::rehearsal {
namespace {

TEST_CASE("kill -9 of the leader, a relay and a proxy under load", "[fleet][kill]") {
  SmallFleet fleet("kill");
  std::vector<CallRecord> records;
  const auto finish = [&](Load load) {
    pauseFor(kTestLoadLead);
    auto finished = load.finish();
    records.insert(records.end(), finished.begin(), finished.end());
    return finished;
  };
  const Workload workload = workloadOf(fleet->deployment());

  Load leader_load = fleet->startLoad("kill-leader", kTestRate);
  pauseFor(kTestLoadLead);
  const auto before = fleet.addRoute("before");
  Member& leader = fleet->waitForLeader();
  leader.kill();
  const auto after = fleet.addRoute("after");
  CHECK(after > before);
  fleet.waitInForce(after);
  CHECK(fleet.allServe("/before"));
  CHECK(fleet.allServe("/after"));
  fleet->startMember(leader);
  fleet->waitForReplica(leader);
  checkNone(checkAnswered(finish(std::move(leader_load)), workload));

  Load relay_load = fleet->startLoad("kill-relay", kTestRate);
  pauseFor(kTestLoadLead);
  fleet.relay(kZoneA).kill();
  fleet.waitInForce(fleet.addRoute("without-relay"));
  CHECK(fleet.allServe("/without-relay"));
  fleet->startMember(fleet.relay(kZoneA));
  checkNone(checkAnswered(finish(std::move(relay_load)), workload));

  Load proxy_load = fleet->startLoad("kill-proxy", kTestRate);
  pauseFor(kTestLoadLead);
  fleet.proxy(kZoneA).kill();
  pauseFor(kTestLoadLead);
  fleet->startMember(fleet.proxy(kZoneA));
  fleet.waitInForce(fleet.addRoute("after-proxy"));
  CHECK(fleet.allServe("/after-proxy"));
  const auto proxy_records = finish(std::move(proxy_load));
  // Connections of a killed proxy are cut: what may be sent again gets its answer from the other proxy.
  for (const auto& record : proxy_records) CHECK(record.outcome != CallOutcome::WrongAnswer);

  checkNone(checkExecutions(records, fleet->executed()));
}

TEST_CASE("all processes are killed and start again from disk", "[fleet][kill]") {
  SmallFleet fleet("restart");
  const auto version = fleet.addRoute("kept");
  fleet.waitInForce(version);
  for (const auto role : {MemberRole::Store, MemberRole::Relay, MemberRole::Proxy}) {
    for (auto* member : fleet->members(role)) member->kill();
  }

  // Proxies serve from their own disk while there is neither store nor relay.
  for (auto* proxy : fleet->members(MemberRole::Proxy)) fleet->startMember(*proxy);
  waitUntil("every proxy serves from its disk", [&] { return fleet.allServe("/kept"); });

  for (const auto role : {MemberRole::Store, MemberRole::Relay}) {
    for (auto* member : fleet->members(role)) fleet->startMember(*member);
  }
  CHECK(fleet->administrator().mustRun("show version") == version);
  const auto next = fleet.addRoute("next");
  CHECK(next == version + 1);
  fleet.waitInForce(next);
  CHECK(fleet.allServe("/kept"));
  CHECK(fleet.allServe("/next"));
}

}  // namespace
}  // namespace cometstand::rehearsal

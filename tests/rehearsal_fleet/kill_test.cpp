// kill -9 of each kind of process under load, and of all of them at once.
#include <fmt/format.h>

#include <algorithm>
#include <catch2/catch.hpp>

#include "rehearsal/fleet/http_client.h"
#include "rehearsal/fleet/wait_until.h"
#include "rehearsal_fleet/small_fleet.h"

namespace cometstand::rehearsal {
namespace {

/// Arrivals a second of requests that may run at most once, and how much longer than usual a target works on
/// one, so that the targets fill up.
constexpr double kKeyedRate = 30;
constexpr int kSlowFactor = 200;
/// So many requests in work that some of them surely came through the proxy that is killed.
constexpr std::uint64_t kEnoughInWork = 16;

/// @return the records of a load that went on for a while.
std::vector<CallRecord> finishLater(Load& load) {
  pauseFor(kTestLoadLead);
  return load.finish();
}

void changeSpeed(const Member& backend, int slow_factor) {
  const auto told =
      askOverHttp(backend.port().endpoint(),
                  {"POST", "", "/control", fmt::format("{{\"slow_factor\": {}}}", slow_factor)});
  REQUIRE(told);
  REQUIRE(told->status == 200);
}

std::uint64_t inWork(Fleet& fleet) {
  std::uint64_t sum = 0;
  for (const auto* backend : fleet.members(MemberRole::Backend)) {
    const auto stats = backendStats(*backend);
    sum += stats.begun - stats.finished;
  }
  return sum;
}

TEST_CASE("kill -9 of the leader and of a relay under load", "[fleet][kill]") {
  SmallFleet fleet("kill-control");
  const Workload workload = workloadOf(fleet->deployment());
  Load load = fleet->startLoad("kill-leader", kTestRate);
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
  auto records = finishLater(load);

  Load relay_load = fleet->startLoad("kill-relay", kTestRate);
  pauseFor(kTestLoadLead);
  fleet.relay(kZoneA).kill();
  fleet.waitInForce(fleet.addRoute("without-relay"));
  CHECK(fleet.allServe("/without-relay"));
  fleet->startMember(fleet.relay(kZoneA));
  const auto relay_records = finishLater(relay_load);
  records.insert(records.end(), relay_records.begin(), relay_records.end());

  checkNone(checkAnswered(records, workload));
  checkNone(checkExecutions(records, fleet->executed()));
}

TEST_CASE("kill -9 of a proxy: what was in work is sent again and runs once", "[fleet][kill]") {
  SmallFleet fleet("kill-proxy");
  for (const auto* backend : fleet->members(MemberRole::Backend)) changeSpeed(*backend, kSlowFactor);
  Load load = fleet->startLoad("kill-proxy", kKeyedRate, keyedWorkloadOf(fleet->deployment()));
  waitUntil("many requests are in work", [&] { return inWork(*fleet) >= kEnoughInWork; });
  fleet.proxy(kZoneA).kill();
  pauseFor(kTestLoadLead);
  fleet->startMember(fleet.proxy(kZoneA));
  fleet.waitInForce(fleet.addRoute("after-proxy"));
  for (const auto* backend : fleet->members(MemberRole::Backend)) changeSpeed(*backend, 1);
  CHECK(fleet.allServe("/after-proxy"));
  const auto records = finishLater(load);
  const auto lost = std::count_if(records.begin(), records.end(),
                                  [](const CallRecord& record) { return record.lost_answers > 0; });
  CHECK(lost > 0);
  for (const auto& record : records) CHECK(record.outcome != CallOutcome::WrongAnswer);
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

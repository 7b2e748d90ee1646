#include "rehearsal/fleet/demo_scenario.h"

#include <fmt/format.h>

#include <future>

#include "base/error.h"
#include "rehearsal/fleet/wait_until.h"

namespace cometstand::rehearsal {

namespace {

/// Load before and after what happens under it.
constexpr Duration kLoadLead = std::chrono::milliseconds(1500);

std::string conflictKind() { return std::string(errorKindName(ErrorKind::Conflict)); }

}  // namespace

DemoScenario::DemoScenario(Fleet& fleet, RehearsalReport& report, double rate)
    : fleet_(fleet), report_(report), rate_(rate) {}

void DemoScenario::run() {
  changeUnderLoad();
  raceOperators();
  killLeader();
  stopProxy();
  checkWholeRun();
  stopEverything();
}

std::vector<CallRecord> DemoScenario::finish(Load& load) {
  auto records = load.finish();
  all_records_.insert(all_records_.end(), records.begin(), records.end());
  report_.step("load: " + countOutcomes(records).text());
  return records;
}

void DemoScenario::changeAndCheck(const std::string& route_name) {
  PlannedRoute route = fleet_.deployment().routes.front();
  route.name = route_name;
  route.requests.path = "/" + route_name;
  auto console = fleet_.tenantOperator();
  const TimePoint sent = SteadyClock::now();
  const auto version = console.mustRun("change {\n" + putRoute(fleet_.deployment(), route) + "}");
  const TimePoint accepted = SteadyClock::now();
  console.waitInForce(version);
  report_.step(fmt::format("version {} was accepted after {} ms and was in force everywhere {} ms later",
                           version, ceilMilliseconds(accepted - sent),
                           ceilMilliseconds(SteadyClock::now() - accepted)));
  Violations missing;
  for (const auto* proxy : fleet_.members(MemberRole::Proxy)) {
    if (!fleet_.serves(*proxy, route.requests.path)) missing.push_back(proxy->name());
  }
  report_.expectNone(missing, fmt::format("every proxy serves route {} once it is in force", route_name));
}

void DemoScenario::changeUnderLoad() {
  report_.step("a change while load runs");
  Load load = fleet_.startLoad("steady", rate_);
  pauseFor(kLoadLead);
  changeAndCheck("bulletin");
  pauseFor(kLoadLead);
  report_.expectNone(checkNoneFailed(finish(load)), "no request failed during the change");
}

void DemoScenario::raceOperators() {
  report_.step("two operators change the same version at once");
  auto first = fleet_.tenantOperator();
  auto second = fleet_.otherOperator();
  const auto base = first.mustRun("show version");
  const auto change = [&](OperatorConsole& console, const std::string& name) {
    PlannedRoute route = fleet_.deployment().routes.front();
    route.name = name;
    route.requests.path = "/" + name;
    return console.run(
        fmt::format("change if version {} {{\n{}}}", base, putRoute(fleet_.deployment(), route)));
  };
  auto rival = std::async(std::launch::async, [&] { return change(second, "race-two"); });
  const CommandResult own = change(first, "race-one");
  const CommandResult other = rival.get();
  report_.step("first: " + own.text());
  report_.step("second: " + other.text());
  report_.expect(own.completed() != other.completed(), "exactly one of the two was accepted");
  const CommandResult& loser = own.completed() ? other : own;
  report_.expect(loser.answered && loser.reply.outcome == wire::Outcome::NotRun &&
                     loser.errorKind() == static_cast<std::uint16_t>(ErrorKind::Conflict),
                 "the other was told not_run: " + conflictKind());
}

void DemoScenario::killLeader() {
  report_.step("kill -9 of the store's leader while load runs");
  Load load = fleet_.startLoad("failover", rate_);
  pauseFor(kLoadLead);
  Member& leader = fleet_.waitForLeader();
  leader.kill();
  changeAndCheck("after-failover");
  report_.step(
      fmt::format("{} led and was killed; {} leads now", leader.name(), fleet_.waitForLeader().name()));
  report_.expect(fleet_.serves(*fleet_.members(MemberRole::Proxy).front(), "/bulletin"),
                 "what was accepted before is still in force");
  fleet_.startMember(leader);
  fleet_.waitForReplica(leader);
  pauseFor(kLoadLead);
  report_.expectNone(checkAnswered(finish(load), workloadOf(fleet_.deployment())),
                     "every request was answered by its deadline with a typed outcome");
}

void DemoScenario::stopProxy() {
  Member& proxy = *fleet_.members(MemberRole::Proxy).front();
  report_.step(fmt::format("planned stop of {} while load runs", proxy.name()));
  Load load = fleet_.startLoad("planned-stop", rate_);
  pauseFor(kLoadLead);
  report_.expect(proxy.stop().clean(), proxy.name() + " ended in order");
  pauseFor(kLoadLead);
  report_.expectNone(checkNoneFailed(finish(load)), "no request failed at the planned stop");
  fleet_.startMember(proxy);
  auto console = fleet_.administrator();
  console.waitInForce(console.mustRun("show version"));
  report_.expect(fleet_.serves(proxy, "/bulletin"), "the proxy serves again after its restart");
}

void DemoScenario::checkWholeRun() {
  report_.step("all requests: " + countOutcomes(all_records_).text());
  report_.expectNone(checkAnswered(all_records_, workloadOf(fleet_.deployment())),
                     "every request of the run was answered by its deadline with a typed outcome");
  report_.expectNone(checkExecutions(all_records_, fleet_.executed()),
                     "nothing ran twice that may not, and what was told not_run did not run");
  report_.expectNone(fleet_.logsWith(fleet_.deployment().secret_value), "no log holds the secret's value");
}

void DemoScenario::stopEverything() {
  report_.step("planned stop of every process");
  Violations unclean;
  for (const auto role : {MemberRole::Proxy, MemberRole::Relay, MemberRole::Store}) {
    for (auto* member : fleet_.members(role)) member->beginStop();
    for (auto* member : fleet_.members(role)) {
      if (!member->waitForEnd().clean()) unclean.push_back(member->name());
    }
  }
  report_.expectNone(unclean, "every process ended in order");
}

}  // namespace cometstand::rehearsal

#include "sidecar/rollout_view.h"

#include <catch2/catch.hpp>

#include "sidecar_fixture.h"

namespace cometstand::sidecar::test {
namespace {

using std::chrono::seconds;
using Phase = wire::RolloutPhase;
using Pool = VersionFilter::Pool;

wire::RolloutUpdateT makeUpdate(Phase phase, std::uint32_t permille = 0, std::uint32_t step = 1) {
  wire::RolloutUpdateT update;
  auto record = std::make_shared<wire::RolloutRecordT>();
  record->number = 1;
  record->service = "shop";
  record->version = "v2";
  record->phase = phase;
  record->canary_permille = permille;
  record->step = step;
  if (phase == Phase::Promoting || phase == Phase::Succeeded) record->replaced_versions = {"v1"};
  update.records.push_back(record);
  update.leader = std::make_shared<wire::NetworkEndpointT>();
  update.leader->host = SidecarFixture::kStore.host;
  update.leader->port = SidecarFixture::kStore.port;
  return update;
}

struct View {
  View() {
    view.noteVersion("shop", "v1", now);
    now += seconds(10);
    view.noteVersion("shop", "v2", now);
  }
  VersionFilter filter(bool is_first_attempt = true) {
    return view.filterFor("shop", is_first_attempt, random, now);
  }

  TimePoint now{seconds(100)};
  RandomSource random{1};
  RolloutView view;
};

}  // namespace

TEST_CASE(
    "a version that appears beside others gets no requests until a roll-out update could have arrived") {
  View test;
  CHECK(test.filter().admits("v1"));
  CHECK_FALSE(test.filter().admits("v2"));
  test.now += RolloutView::kNewVersionDelay;
  CHECK(test.filter().admits("v2"));
}

TEST_CASE("the new version gets its share of first attempts, and only within the lease") {
  View test;
  test.now += RolloutView::kNewVersionDelay;
  test.view.apply(makeUpdate(Phase::Canary, 250), test.now);
  int canary_requests = 0;
  constexpr int kRequests = 4'000;
  for (int i = 0; i < kRequests; ++i) canary_requests += test.filter().pool == Pool::Canary ? 1 : 0;
  CHECK(canary_requests == Approx(kRequests / 4).margin(150));
  CHECK(test.filter(false).pool == Pool::Stable);
  CHECK_FALSE(test.filter(false).admits("v2"));
  CHECK_FALSE(test.view.isClosed("shop", "v2", test.now));
  test.now += RolloutView::kLeaseDuration;
  for (int i = 0; i < kRequests; ++i) REQUIRE(test.filter().pool == Pool::Stable);
  CHECK(test.view.isClosed("shop", "v2", test.now));
  CHECK_FALSE(test.view.isClosed("shop", "v1", test.now));
}

TEST_CASE("targets of unknown version get no requests during a roll-out") {
  View test;
  CHECK(test.filter().admits(""));
  test.view.apply(makeUpdate(Phase::Canary, 60), test.now);
  CHECK_FALSE(test.filter().admits(""));
  test.view.apply(makeUpdate(Phase::Succeeded, 0, 2), test.now);
  CHECK(test.filter().admits(""));
}

TEST_CASE("a promoted version gets all requests and replaced ones none, also after the roll-out") {
  View test;
  test.view.apply(makeUpdate(Phase::Promoting), test.now);
  CHECK(test.view.isClosed("shop", "v1", test.now));
  CHECK_FALSE(test.filter().admits("v1"));
  test.now += seconds(60);
  CHECK(test.filter().admits("v2"));
  test.view.apply(makeUpdate(Phase::Succeeded, 0, 2), test.now);
  CHECK(test.view.isClosed("shop", "v1", test.now));
  CHECK_FALSE(test.filter().admits("v1"));
  CHECK(test.filter().admits("v2"));
  // The finished roll-out does not apply to versions that appear later.
  CHECK_FALSE(test.view.isClosed("shop", "v3", test.now));
}

TEST_CASE("a version that is rolled back gets no requests, and late updates are ignored") {
  View test;
  test.now += RolloutView::kNewVersionDelay;
  test.view.apply(makeUpdate(Phase::RollingBack, 0, 3), test.now);
  test.view.apply(makeUpdate(Phase::Canary, 60, 2), test.now);
  CHECK(test.view.isClosed("shop", "v2", test.now));
  CHECK_FALSE(test.filter().admits("v2"));
  CHECK(test.filter().admits("v1"));
}

TEST_CASE("a closed version refuses requests, finishes running ones, and reports both to the leader") {
  SidecarFixture fixture;
  fixture.configure();
  auto heartbeat = SidecarFixture::makeHeartbeat("t1", 1);
  heartbeat.version = "v1";
  fixture.core.onHeartbeat(heartbeat, fixture.now);
  fixture.step();
  fixture.call("/read/1");
  REQUIRE(fixture.target.orders.size() == 1);
  fixture.sent.clear();
  fixture.deliver(SidecarFixture::kStore, makeUpdate(Phase::Promoting));
  const auto last_report = [&fixture] {
    std::optional<wire::RolloutReportT> report;
    for (const auto& message : fixture.sent) {
      if (const auto* found = message.message->body.AsRolloutReport()) report = *found;
    }
    return report;
  };
  REQUIRE(last_report());
  CHECK(last_report()->is_closed);
  CHECK(last_report()->in_flight == 1);
  const auto refused = fixture.call("/read/2");
  CHECK(fixture.callers.answers.at(refused).outcome == CallOutcome::NotRun);
  CHECK(fixture.target.orders.size() == 1);
  RunResult result;
  result.reply.outcome = wire::ForwardOutcome::Answered;
  result.reply.status = 200;
  fixture.core.onRunResult(fixture.target.orders.front().id, result, fixture.now);
  fixture.step();
  fixture.advance(milliseconds(300));
  CHECK(last_report()->in_flight == 0);
}

TEST_CASE("requests that run during a roll-out are counted by route") {
  SidecarFixture fixture;
  fixture.configure();
  auto heartbeat = SidecarFixture::makeHeartbeat("t2", 1);
  heartbeat.version = "v2";
  fixture.core.onHeartbeat(heartbeat, fixture.now);
  fixture.step();
  fixture.deliver(SidecarFixture::kStore, makeUpdate(Phase::Canary, 1'000));
  fixture.call("/write/1");
  REQUIRE(fixture.target.orders.size() == 1);
  fixture.now += milliseconds(100);
  RunResult result;
  result.reply.outcome = wire::ForwardOutcome::Answered;
  result.reply.status = 500;
  fixture.core.onRunResult(fixture.target.orders.front().id, result, fixture.now);
  fixture.step();
  fixture.sent.clear();
  fixture.advance(milliseconds(300));
  const auto found = std::find_if(fixture.sent.begin(), fixture.sent.end(), [](const auto& message) {
    return message.message->body.AsRolloutReport() != nullptr;
  });
  REQUIRE(found != fixture.sent.end());
  const auto& report = *found->message->body.AsRolloutReport();
  CHECK(report.begun == 1);
  REQUIRE(report.samples.size() == 1);
  CHECK(report.samples.front()->route == "write");
  CHECK(report.samples.front()->failed == 1);
}

}  // namespace cometstand::sidecar::test

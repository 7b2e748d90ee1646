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
  VersionFilter filter(bool first_sending = true) {
    return view.filterFor("shop", first_sending, random, now);
  }

  TimePoint now{seconds(100)};
  RandomSource random{1};
  RolloutView view;
};

}  // namespace

TEST_CASE("a version that comes up beside others waits for an order that may be on its way") {
  View test;
  CHECK(test.filter().admits("v1"));
  CHECK_FALSE(test.filter().admits("v2"));
  test.now += RolloutView::kProbation;
  CHECK(test.filter().admits("v2"));
}

TEST_CASE("the new version gets its share of first sendings, within the lease only") {
  View test;
  test.now += RolloutView::kProbation;
  test.view.apply(makeUpdate(Phase::Canary, 250), test.now);
  int drawn = 0;
  constexpr int kDraws = 4'000;
  for (int i = 0; i < kDraws; ++i) drawn += test.filter().pool == Pool::Canary ? 1 : 0;
  CHECK(drawn == Approx(kDraws / 4).margin(150));
  CHECK(test.filter(false).pool == Pool::Stable);
  CHECK_FALSE(test.filter(false).admits("v2"));
  CHECK_FALSE(test.view.isClosed("shop", "v2", test.now));
  test.now += RolloutView::kLease;
  for (int i = 0; i < kDraws; ++i) REQUIRE(test.filter().pool == Pool::Stable);
  CHECK(test.view.isClosed("shop", "v2", test.now));
  CHECK_FALSE(test.view.isClosed("shop", "v1", test.now));
}

TEST_CASE("targets of unknown version get nothing while a roll-out runs") {
  View test;
  CHECK(test.filter().admits(""));
  test.view.apply(makeUpdate(Phase::Canary, 60), test.now);
  CHECK_FALSE(test.filter().admits(""));
  test.view.apply(makeUpdate(Phase::Succeeded, 0, 2), test.now);
  CHECK(test.filter().admits(""));
}

TEST_CASE("a promoted version gets everything, the replaced ones nothing, also once it is over") {
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
  // What comes up later is no business of this roll-out.
  CHECK_FALSE(test.view.isClosed("shop", "v3", test.now));
}

TEST_CASE("a version that is rolled back gets nothing, and late words change nothing") {
  View test;
  test.now += RolloutView::kProbation;
  test.view.apply(makeUpdate(Phase::RollingBack, 0, 3), test.now);
  test.view.apply(makeUpdate(Phase::Canary, 60, 2), test.now);
  CHECK(test.view.isClosed("shop", "v2", test.now));
  CHECK_FALSE(test.filter().admits("v2"));
  CHECK(test.filter().admits("v1"));
}

TEST_CASE("the gate refuses for a closed version, lets what runs end, and the leader hears of both") {
  SidecarFixture fixture;
  fixture.configure();
  auto beat = SidecarFixture::makeBeat("t1", 1);
  beat.version = "v1";
  fixture.core.onHeartbeat(beat, fixture.now);
  fixture.step();
  fixture.call("/read/1");
  REQUIRE(fixture.target.orders.size() == 1);
  fixture.sent.clear();
  fixture.say(SidecarFixture::kStore, makeUpdate(Phase::Promoting));
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
  fixture.pass(milliseconds(300));
  CHECK(last_report()->in_flight == 0);
}

TEST_CASE("requests that run while a roll-out goes on are counted by route") {
  SidecarFixture fixture;
  fixture.configure();
  auto beat = SidecarFixture::makeBeat("t2", 1);
  beat.version = "v2";
  fixture.core.onHeartbeat(beat, fixture.now);
  fixture.step();
  fixture.say(SidecarFixture::kStore, makeUpdate(Phase::Canary, 1'000));
  fixture.call("/write/1");
  REQUIRE(fixture.target.orders.size() == 1);
  fixture.now += milliseconds(100);
  RunResult result;
  result.reply.outcome = wire::ForwardOutcome::Answered;
  result.reply.status = 500;
  fixture.core.onRunResult(fixture.target.orders.front().id, result, fixture.now);
  fixture.step();
  fixture.sent.clear();
  fixture.pass(milliseconds(300));
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

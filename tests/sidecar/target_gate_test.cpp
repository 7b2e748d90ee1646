#include "tests/sidecar/sidecar_fixture.h"

namespace cometstand::sidecar::test {

using wire::ForwardOutcome;
using wire::NotRunReason;

namespace {

/// The gate of one target with two slots. Requests come from link 1.
class GateFixture {
 public:
  GateFixture()
      : gate(options, target, quarantine, [this](const GateRequester& requester, wire::ForwardReplyT reply) {
          const bool is_first = replies.emplace(requester.request_id, std::move(reply)).second;
          REQUIRE(is_first);
        }) {}

  void admit(std::uint64_t number, unsigned priority = 1, std::uint32_t deadline_ms = 1'000,
             std::uint32_t objective_ms = 400) {
    auto request = std::make_shared<wire::ForwardRequestT>();
    request->service = "shop";
    request->request_id = "r" + std::to_string(number);
    request->priority = priority;
    request->deadline_ms = deadline_ms;
    request->objective_ms = objective_ms;
    request->patience_ms = patience_ms;
    gate.admit({runtime::LinkId{1}, number}, request, now);
  }

  void finish(std::size_t order) {
    RunResult result;
    result.reply.outcome = ForwardOutcome::Answered;
    gate.onResult(target.orders.at(order).id, result, now);
  }

  SidecarOptions options;
  std::uint32_t patience_ms = 100;
  RecordingTarget target;
  std::map<std::uint64_t, wire::ForwardReplyT> replies;
  TimePoint now{std::chrono::seconds(100)};
  Quarantine quarantine{[](const runtime::MessagePointer&) {}};
  TargetGate gate;
};

}  // namespace

TEST_CASE("a target that has sent no heartbeat gets no requests") {
  GateFixture fixture;
  fixture.admit(1);
  CHECK(fixture.replies.at(1).outcome == ForwardOutcome::NotRun);
  CHECK(fixture.replies.at(1).reason == NotRunReason::TargetDown);
}

TEST_CASE("a target has at most one request per slot in flight, and the most urgent queued one is next") {
  GateFixture fixture;
  fixture.gate.target().onHeartbeat(SidecarFixture::makeHeartbeat("a", 1), fixture.now);
  for (std::uint64_t number = 1; number <= 3; ++number) fixture.admit(number, 2);
  fixture.admit(4, 1);
  REQUIRE(fixture.target.orders.size() == 2);
  CHECK(fixture.gate.waiting() == 2);
  fixture.finish(0);
  REQUIRE(fixture.target.orders.size() == 3);
  CHECK(fixture.target.orders[2].request->request_id == "r4");
}

TEST_CASE("a request whose queue time limit expires is refused as not run") {
  GateFixture fixture;
  fixture.gate.target().onHeartbeat(SidecarFixture::makeHeartbeat("a", 1), fixture.now);
  for (std::uint64_t number = 1; number <= 3; ++number) fixture.admit(number);
  fixture.now = fixture.gate.nextTimer();
  fixture.gate.onTimer(fixture.now);
  REQUIRE(fixture.replies.contains(3));
  CHECK(fixture.replies.at(3).reason == NotRunReason::Full);
  CHECK(fixture.replies.at(3).retry_after_ms > 0);
}

TEST_CASE("a target that shuts down gets no requests after the grace period, and never becomes ready again") {
  GateFixture fixture;
  fixture.gate.target().onHeartbeat(SidecarFixture::makeHeartbeat("a", 5), fixture.now);
  fixture.gate.target().onHeartbeat(SidecarFixture::makeHeartbeat("a", 7, false), fixture.now);
  fixture.admit(1);
  CHECK(fixture.target.orders.size() == 1);
  // One heartbeat from before the shutdown arrives late; another, after it, wrongly reports ready.
  fixture.gate.target().onHeartbeat(SidecarFixture::makeHeartbeat("a", 6), fixture.now);
  fixture.gate.target().onHeartbeat(SidecarFixture::makeHeartbeat("a", 8), fixture.now);
  fixture.now += fixture.options.leaving_grace;
  fixture.admit(2);
  CHECK(fixture.target.orders.size() == 1);
  CHECK(fixture.replies.at(2).reason == NotRunReason::Leaving);
}

TEST_CASE("a target that only deregisters gets no requests after the grace period") {
  GateFixture fixture;
  fixture.gate.target().onHeartbeat(SidecarFixture::makeHeartbeat("a", 1), fixture.now);
  fixture.gate.target().onDeregistered({"a"}, fixture.now);
  fixture.now += fixture.options.leaving_grace;
  fixture.admit(1);
  CHECK(fixture.target.orders.empty());
}

TEST_CASE("heartbeats of a replaced instance are ignored") {
  GateFixture fixture;
  auto& state = fixture.gate.target();
  state.onHeartbeat(SidecarFixture::makeHeartbeat("a", 9), fixture.now);
  state.onHeartbeat(SidecarFixture::makeHeartbeat("b", 1), fixture.now);
  CHECK_FALSE(state.onHeartbeat(SidecarFixture::makeHeartbeat("a", 10, false), fixture.now));
  CHECK(state.incarnation().id == "b");
  CHECK(state.condition() == TargetCondition::Ready);
}

TEST_CASE(
    "a target that answers as another instance gets no requests until that instance sends a heartbeat") {
  GateFixture fixture;
  auto& state = fixture.gate.target();
  state.onHeartbeat(SidecarFixture::makeHeartbeat("a", 1), fixture.now);
  CHECK(state.onIdMismatch({"a", 0}));
  fixture.admit(1);
  CHECK(fixture.target.orders.empty());
  CHECK_FALSE(state.onHeartbeat(SidecarFixture::makeHeartbeat("a", 2), fixture.now));
  state.onHeartbeat(SidecarFixture::makeHeartbeat("b", 1), fixture.now);
  fixture.admit(2);
  CHECK(fixture.target.orders.size() == 1);
}

// Guards against targets that break off their answers: they look idle, and attracted the most requests in an
// incident.
TEST_CASE("the gate reports the failure rate of its target, and a failing endpoint is chosen last") {
  GateFixture fixture;
  fixture.gate.target().onHeartbeat(SidecarFixture::makeHeartbeat("a", 1), fixture.now);
  for (std::uint64_t number = 1; number <= 20; ++number) {
    fixture.admit(number);
    RunResult result;
    result.reply.outcome = ForwardOutcome::Unknown;
    fixture.gate.onResult(fixture.target.orders.back().id, result, fixture.now);
  }
  const auto& reply = fixture.replies.at(20);
  CHECK(reply.failure_permille > 800);

  SidecarFixture sidecar;
  sidecar.configure();
  sidecar.addPeer(SidecarFixture::kPeer);
  sidecar.addPeer(SidecarFixture::kOtherPeer);
  sidecar.deliver(SidecarFixture::kPeer, reply, 0);
  for (int i = 0; i < 2; ++i) sidecar.call("/write/1");
  CHECK(sidecar.forwardsTo(SidecarFixture::kPeer).empty());
  CHECK(sidecar.forwardsTo(SidecarFixture::kOtherPeer).size() == 2);
}

TEST_CASE("the gate reports its target's run time as a share of the requests' objectives") {
  GateFixture fixture;
  fixture.gate.target().onHeartbeat(SidecarFixture::makeHeartbeat("a", 1), fixture.now);
  fixture.admit(1);
  fixture.now += milliseconds(200);
  fixture.finish(0);
  CHECK(fixture.replies.at(1).run_time_permille == 500);
  // A run that its sender cancels after three objectives shows that the target is slower than it seemed.
  fixture.admit(2, 1, 5'000);
  fixture.now += milliseconds(1'200);
  fixture.gate.cancel({runtime::LinkId{1}, 2}, fixture.now);
  fixture.admit(3, 1, 0);
  CHECK(fixture.replies.at(3).run_time_permille == 750);
}

// Guards against two faults with few targets left. Without the reserve, long requests held all slots but one
// of the remaining targets; short calls from other targets were refused, and the runs that needed those calls
// failed. With too large a reserve, long requests got half of the slots and reached a third of
// their goodput.
TEST_CASE("at most a third of the slots are reserved from long requests") {
  constexpr std::uint32_t kDeadline = 6'000;
  GateFixture fixture;
  auto beat = SidecarFixture::makeHeartbeat("a", 1);
  beat.slots = 6;
  fixture.gate.target().onHeartbeat(beat, fixture.now);
  // 100 requests per second of 100 ms each, far more than the slots can serve; all have ended before the
  // check.
  std::uint64_t number = 0;
  for (int i = 0; i < 200; ++i) {
    fixture.admit(++number, 1, kDeadline, 200);
    fixture.now += milliseconds(10);
    if (fixture.gate.running() == beat.slots) {
      fixture.now += milliseconds(50);
      while (fixture.gate.running() > 0)
        fixture.finish(fixture.target.orders.size() - fixture.gate.running());
    }
  }
  while (fixture.gate.running() > 0) fixture.finish(fixture.target.orders.size() - fixture.gate.running());
  for (int i = 0; i < 6; ++i) fixture.admit(++number, 2, kDeadline, 2'500);
  CHECK(fixture.gate.running() == 4);
}

TEST_CASE("slots are reserved from long requests for the offered load of shorter and more urgent ones") {
  constexpr std::uint32_t kShort = 200;
  constexpr std::uint32_t kLong = 2'500;
  constexpr std::uint32_t kDeadline = 6'000;
  GateFixture fixture;
  auto beat = SidecarFixture::makeHeartbeat("a", 1);
  beat.slots = 6;
  fixture.gate.target().onHeartbeat(beat, fixture.now);
  // 20 requests per second of 100 ms each occupy two slots.
  std::uint64_t number = 0;
  for (int i = 0; i < 60; ++i) {
    fixture.admit(++number, 1, kDeadline, kShort);
    fixture.now += milliseconds(50);
    if (i > 0) fixture.finish(fixture.target.orders.size() - 2);
  }
  fixture.finish(fixture.target.orders.size() - 1);
  REQUIRE(fixture.gate.running() == 0);
  const auto admit_all = [&](unsigned priority, std::uint32_t objective_ms) {
    for (int i = 0; i < 6; ++i) fixture.admit(++number, priority, kDeadline, objective_ms);
    return fixture.gate.running();
  };
  SECTION("less urgent long requests do not use the reserved slots") { CHECK(admit_all(2, kLong) == 4); }
  SECTION("slots that short requests occupy already are not reserved a second time") {
    fixture.admit(++number, 1, kDeadline, kShort);
    fixture.admit(++number, 1, kDeadline, kShort);
    CHECK(admit_all(2, kLong) == 6);
  }
  SECTION("equally urgent long requests use all slots") { CHECK(admit_all(1, kLong) == 6); }
  SECTION("short requests use all slots") { CHECK(admit_all(1, kShort) == 6); }
}

TEST_CASE("a request for another service is refused as not run") {
  GateFixture fixture;
  auto beat = SidecarFixture::makeHeartbeat("a", 1);
  beat.service = "other";
  fixture.gate.target().onHeartbeat(beat, fixture.now);
  fixture.admit(1);
  CHECK(fixture.replies.at(1).reason == NotRunReason::WrongTarget);
}

TEST_CASE("queued and running requests of a closed link are cancelled") {
  GateFixture fixture;
  fixture.gate.target().onHeartbeat(SidecarFixture::makeHeartbeat("a", 1), fixture.now);
  for (std::uint64_t number = 1; number <= 3; ++number) fixture.admit(number);
  fixture.gate.cancelLink(runtime::LinkId{1}, fixture.now);
  CHECK(fixture.target.cancelled.size() == 2);
  CHECK(fixture.gate.waiting() == 0);
  CHECK(fixture.gate.running() == 0);
}

TEST_CASE("a run without a result is cancelled shortly after its deadline, with an unknown outcome") {
  GateFixture fixture;
  fixture.gate.target().onHeartbeat(SidecarFixture::makeHeartbeat("a", 1), fixture.now);
  fixture.admit(1, 1, 100);
  fixture.now += milliseconds(110);
  fixture.gate.onTimer(fixture.now);
  CHECK(fixture.replies.empty());
  fixture.now += milliseconds(100);
  fixture.gate.onTimer(fixture.now);
  CHECK(fixture.replies.at(1).outcome == ForwardOutcome::Unknown);
  CHECK(fixture.target.cancelled.size() == 1);
}

TEST_CASE(
    "a request with a shorter queue time limit is served before others of its priority and not refused") {
  GateFixture fixture;
  fixture.gate.target().onHeartbeat(SidecarFixture::makeHeartbeat("a", 1), fixture.now);
  // A run takes 100 ms, so a request behind three others would wait longer than its limit.
  for (std::uint64_t number = 1; number <= 2; ++number) fixture.admit(number);
  fixture.now += milliseconds(100);
  for (std::size_t order = 0; order < 2; ++order) fixture.finish(order);
  fixture.patience_ms = 200;
  for (std::uint64_t number = 3; number <= 7; ++number) fixture.admit(number);
  REQUIRE(fixture.gate.waiting() == 3);
  fixture.patience_ms = 60;
  fixture.admit(8);
  CHECK_FALSE(fixture.replies.contains(8));
  fixture.finish(2);
  CHECK(fixture.target.orders.back().request->request_id == "r8");
}

// Guards against refusing short requests too early. Calls with an objective of 200 ms were refused at once or
// after 30 ms by full targets of which a slot became free every 30 ms; each refusal failed a run that had
// already taken four times as long.
TEST_CASE("a short request among long ones waits as long as its answer can still meet the objective") {
  constexpr std::uint32_t kDeadline = 6'000;
  GateFixture fixture;
  fixture.patience_ms = 20;
  auto beat = SidecarFixture::makeHeartbeat("a", 1);
  beat.slots = 2;
  fixture.gate.target().onHeartbeat(beat, fixture.now);
  fixture.admit(1, 1, kDeadline, 200);
  fixture.now += milliseconds(50);
  fixture.finish(0);
  fixture.admit(2, 2, kDeadline, 2'000);
  fixture.admit(3, 2, kDeadline, 2'000);
  REQUIRE(fixture.gate.running() == 2);
  fixture.admit(4, 1, kDeadline, 200);
  fixture.now += milliseconds(99);
  fixture.gate.onTimer(fixture.now);
  CHECK_FALSE(fixture.replies.contains(4));
  fixture.now += milliseconds(2);
  fixture.gate.onTimer(fixture.now);
  CHECK(fixture.replies.at(4).reason == NotRunReason::Full);
}

TEST_CASE("a request that no other yields to waits no longer than its sender's limit") {
  GateFixture fixture;
  fixture.patience_ms = 20;
  fixture.gate.target().onHeartbeat(SidecarFixture::makeHeartbeat("a", 1), fixture.now);
  for (std::uint64_t number = 1; number <= 3; ++number) fixture.admit(number);
  fixture.now += milliseconds(21);
  fixture.gate.onTimer(fixture.now);
  CHECK(fixture.replies.contains(3));
}

namespace {

Heartbeat makeHeartbeat(std::uint64_t born_ms, std::uint64_t sequence, bool is_ready = true) {
  auto beat = SidecarFixture::makeHeartbeat("a", sequence, is_ready);
  beat.incarnation.born_ms = born_ms;
  return beat;
}

}  // namespace

TEST_CASE("a target that restarts under the same id is a new incarnation with its own sequence numbers",
          "[incarnation]") {
  TargetState state;
  const TimePoint now{std::chrono::seconds(100)};
  REQUIRE(state.onHeartbeat(makeHeartbeat(1'000, 50), now));
  const bool was_leaving = GENERATE(false, true);
  if (was_leaving) state.onDeregistered({"a", 1'000}, now);
  CHECK(state.onHeartbeat(makeHeartbeat(2'000, 1), now));
  CHECK(state.condition() == TargetCondition::Ready);
  CHECK(state.incarnation() == mesh::Incarnation{"a", 2'000});
  CHECK(state.sequence() == 1);
}

TEST_CASE("late messages of an earlier incarnation are ignored in any order", "[incarnation]") {
  TargetState state;
  TimePoint now{std::chrono::seconds(100)};
  // A sidecar that has just started may receive the later one first.
  const bool earlier_was_known = GENERATE(false, true);
  if (earlier_was_known) state.onHeartbeat(makeHeartbeat(1'000, 50), now);
  state.onHeartbeat(makeHeartbeat(2'000, 1), now);
  const int late_message = GENERATE(0, 1, 2);
  if (late_message == 0) CHECK_FALSE(state.onHeartbeat(makeHeartbeat(1'000, 51), now));
  if (late_message == 1) CHECK_FALSE(state.onHeartbeat(makeHeartbeat(1'000, 52, false), now));
  if (late_message == 2) CHECK_FALSE(state.onDeregistered({"a", 1'000}, now));
  CHECK(state.condition() == TargetCondition::Ready);
  CHECK(state.incarnation().born_ms == 2'000);
  CHECK(state.onHeartbeat(makeHeartbeat(2'000, 2, false), now));
}

TEST_CASE("messages of the later incarnation do not bring back the earlier one", "[incarnation]") {
  TargetState state;
  const TimePoint now{std::chrono::seconds(100)};
  state.onHeartbeat(makeHeartbeat(1'000, 50), now);
  state.onHeartbeat(makeHeartbeat(2'000, 1), now);
  state.onDeregistered({"a", 2'000}, now);
  CHECK(state.condition() == TargetCondition::Leaving);
  state.onHeartbeat(makeHeartbeat(1'000, 60), now + std::chrono::seconds(10));
  CHECK(state.condition() == TargetCondition::Leaving);
  state.onHeartbeat(makeHeartbeat(2'000, 2), now);
  CHECK(state.condition() == TargetCondition::Leaving);
}

// Covers a clock of the target's machine that was set back between two starts, so that the newer incarnation
// looks older.
TEST_CASE("an incarnation that looks older is accepted once the known one is silent and it keeps sending",
          "[incarnation]") {
  TargetState state;
  TimePoint now{std::chrono::seconds(100)};
  state.onHeartbeat(makeHeartbeat(2'000, 7), now);
  for (std::uint64_t sequence = 1; sequence <= 3; ++sequence) {
    now += std::chrono::seconds(1);
    CHECK_FALSE(state.onHeartbeat(makeHeartbeat(1'500, sequence), now));
  }
  // A single delayed heartbeat is not enough, and neither is the same one again.
  now += TargetState::kHeartbeatTimeout;
  CHECK_FALSE(state.onHeartbeat(makeHeartbeat(1'500, 3), now));
  CHECK_FALSE(state.onHeartbeat(makeHeartbeat(1'400, 9), now));
  CHECK_FALSE(state.onHeartbeat(makeHeartbeat(1'500, 4), now));
  CHECK(state.onHeartbeat(makeHeartbeat(1'500, 5), now));
  CHECK(state.incarnation().born_ms == 1'500);
  CHECK_FALSE(state.onHeartbeat(makeHeartbeat(2'000, 8), now));
}

TEST_CASE("the next heartbeat supplies the birth time of an incarnation found by a health check",
          "[incarnation]") {
  TargetState state;
  const TimePoint now{std::chrono::seconds(100)};
  REQUIRE(state.onHealthCheckPassed("a", "shop", 2));
  state.onHeartbeat(makeHeartbeat(1'000, 3), now);
  CHECK(state.incarnation().born_ms == 1'000);
  CHECK(state.condition() == TargetCondition::Ready);
  CHECK(state.onHeartbeat(makeHeartbeat(2'000, 1), now));
}

TEST_CASE("state of a target is dropped with its incarnation", "[incarnation]") {
  SidecarFixture sidecar;
  sidecar.configure();
  const auto beat = [&sidecar](std::uint64_t born_ms, std::uint64_t sequence) {
    sidecar.core.onHeartbeat(makeHeartbeat(born_ms, sequence), sidecar.now);
    sidecar.step();
  };
  beat(1'000, 50);
  // A run in flight is broken off by the end of its target and may have run there, so it is not retried at
  // the next one.
  const auto id = sidecar.call("/write/1");
  REQUIRE(sidecar.target.orders.size() == 1);
  CHECK(sidecar.target.orders[0].instance == "a");
  RunResult broken;
  broken.reply.outcome = wire::ForwardOutcome::Unknown;
  beat(2'000, 1);
  sidecar.core.onRunResult(sidecar.target.orders[0].id, broken, sidecar.now);
  sidecar.step();
  CHECK(sidecar.callers.answers.at(id).outcome == CallOutcome::Failed);
  CHECK(sidecar.target.orders.size() == 1);
  // The record sent to other sidecars names another endpoint.
  const auto records = [&sidecar](const std::string& name) {
    return std::count_if(sidecar.sent.begin(), sidecar.sent.end(), [&name](const auto& item) {
      const auto* update = item.message->body.AsEndpointUpdate();
      return update != nullptr && !update->records.empty() && update->records[0]->endpoint == name;
    });
  };
  CHECK(records("a@1000") > 0);
  CHECK(records("a@2000") > 0);
}

TEST_CASE("a heartbeat of an unknown service is rejected and changes nothing", "[incarnation]") {
  SidecarFixture sidecar;
  sidecar.configure();
  sidecar.core.onHeartbeat(makeHeartbeat(1'000, 1), sidecar.now);
  auto unknown = makeHeartbeat(2'000, 1);
  unknown.service = "elsewhere";
  CHECK_THROWS_AS(sidecar.core.onHeartbeat(unknown, sidecar.now), Error);
  CHECK(sidecar.core.gate().target().incarnation().born_ms == 1'000);
  CHECK(sidecar.core.gate().target().service() == "shop");
}

}  // namespace cometstand::sidecar::test

// Tests of heartbeats and refusals that arrive after their target has ended and another one runs in its
// place.
#include "sidecar_fixture.h"

namespace cometstand::sidecar::test {
namespace {

using std::chrono::seconds;

constexpr Duration kHeartbeatInterval = milliseconds(1'500);

Heartbeat makeHeartbeat(const std::string& id, std::uint64_t sequence, bool is_ready = true) {
  return SidecarFixture::makeHeartbeat(id, sequence, is_ready);
}

/// A sidecar beside the target "running", which has registered after the target "ended" has crashed.
class DelayedFixture : public SidecarFixture {
 public:
  DelayedFixture() { configure(); }

  void beat(const std::string& id, std::uint64_t sequence) {
    core.onHeartbeat(makeHeartbeat(id, sequence), now);
    step();
  }

  void finishRun(const RunRequest& order, bool is_mismatch) {
    RunResult result;
    result.reply.outcome = is_mismatch ? wire::ForwardOutcome::NotRun : wire::ForwardOutcome::Answered;
    result.reply.status = 200;
    result.instance_mismatch = is_mismatch;
    core.onRunResult(order.id, result, now);
    step();
  }

  const std::string& currentId() const { return core.gate().target().incarnation().id; }
  bool isReady() const { return core.gate().target().condition() == TargetCondition::Ready; }
};

}  // namespace

// Guards against a running target that gets no requests for good because a delayed heartbeat of a crashed one
// superseded it. A sidecar that restarted does not know the crashed target.
TEST_CASE("a delayed heartbeat of an ended target does not exclude the running one", "[incarnation]") {
  TargetState state;
  TimePoint now{seconds(100)};
  const bool ended_was_known = GENERATE(false, true);
  const bool delayed_is_first = GENERATE(false, true);
  if (ended_was_known) state.onHeartbeat(makeHeartbeat("ended", 8), now - kHeartbeatInterval);
  if (delayed_is_first) state.onHeartbeat(makeHeartbeat("ended", 9), now);
  state.onHeartbeat(makeHeartbeat("running", 1), now);
  state.onHeartbeat(makeHeartbeat("running", 2), now + kHeartbeatInterval);
  state.onHeartbeat(makeHeartbeat("ended", 10), now + kHeartbeatInterval + milliseconds(10));
  for (std::uint64_t sequence = 3; sequence <= 6; ++sequence) {
    now += kHeartbeatInterval;
    state.onHeartbeat(makeHeartbeat("running", sequence), now + kHeartbeatInterval);
  }
  CHECK(state.incarnation().id == "running");
  CHECK(state.condition() == TargetCondition::Ready);
}

// Guards against the time until the next heartbeats if requests already show that the ended target is gone.
TEST_CASE_METHOD(DelayedFixture,
                 "a refused request brings back the target that a delayed heartbeat superseded",
                 "[incarnation]") {
  beat("running", 1);
  beat("running", 2);
  beat("ended", 9);
  REQUIRE(currentId() == "ended");
  call("/read/1");
  REQUIRE(target.orders.size() == 1);
  REQUIRE(target.orders[0].instance == "ended");
  target.health_checks.clear();
  finishRun(target.orders[0], true);
  SECTION("by a health check") {
    REQUIRE(target.health_checks.size() == 1);
    core.onHealth({true, "running", 2}, now);
    step();
    CHECK(core.gate().target().sequence() == 2);
  }
  SECTION("by the next heartbeat, if the health check is rejected") {
    core.onHealth({false, "", 1}, now);
    beat("running", 3);
  }
  CHECK(currentId() == "running");
  CHECK(isReady());
  beat("ended", 10);
  CHECK(currentId() == "running");
  call("/read/2");
  REQUIRE(target.orders.size() == 2);
  CHECK(target.orders[1].instance == "running");
}

// Guards against a running target that gets no requests for good because a refusal of the target before it is
// taken for its own.
TEST_CASE_METHOD(DelayedFixture,
                 "a late refusal of a request for an ended target does not exclude the running one",
                 "[incarnation]") {
  beat("ended", 9);
  call("/read/1");
  REQUIRE(target.orders.size() == 1);
  beat("running", 1);
  finishRun(target.orders[0], true);
  CHECK(currentId() == "running");
  CHECK(isReady());
  beat("running", 2);
  CHECK(isReady());
  call("/read/2");
  REQUIRE(target.orders.size() == 2);
  CHECK(target.orders[1].instance == "running");
  // The refusal shows that the first target is gone, so its delayed heartbeats do not count.
  beat("ended", 10);
  CHECK(currentId() == "running");
}

// Guards against a superseded target that is sent requests again after it reported that it is leaving.
TEST_CASE("a superseded target that reports that it is leaving does not become ready again",
          "[incarnation]") {
  TargetState state;
  TimePoint now{seconds(100)};
  state.onHeartbeat(makeHeartbeat("first", 1), now);
  state.onHeartbeat(makeHeartbeat("second", 1), now);
  const bool deregisters = GENERATE(false, true);
  if (deregisters) {
    state.onDeregistered({"first", 0}, now);
  } else {
    state.onHeartbeat(makeHeartbeat("first", 2, false), now);
  }
  CHECK(state.hasLeft({"first", 0}));
  state.onIdMismatch({"second", 0});
  for (std::uint64_t sequence = 3; sequence <= 8; ++sequence) {
    now += kHeartbeatInterval;
    state.onHeartbeat(makeHeartbeat("first", sequence), now);
    CHECK_FALSE(state.onHealthCheckPassed("first", "shop", 2));
  }
  CHECK(state.condition() != TargetCondition::Ready);
}

// Guards against two running targets in one place: the one that ended must not return by late heartbeats
// while the running one sends its own.
TEST_CASE("delayed heartbeats of a superseded target do not count while the current one sends its own",
          "[incarnation]") {
  TargetState state;
  TimePoint now{seconds(100)};
  state.onHeartbeat(makeHeartbeat("ended", 4), now);
  for (std::uint64_t sequence = 1; sequence <= 10; ++sequence) {
    state.onHeartbeat(makeHeartbeat("running", sequence), now);
    state.onHeartbeat(makeHeartbeat("ended", 4 + sequence), now + milliseconds(700));
    CHECK(state.incarnation().id == "running");
    now += kHeartbeatInterval;
  }
}

}  // namespace cometstand::sidecar::test

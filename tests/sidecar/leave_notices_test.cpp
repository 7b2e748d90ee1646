// Leave notices of the target beside a sidecar: when they are acknowledged, and what a new process knows.
#include "sidecar/leave_notices.h"

#include <catch2/catch.hpp>

#include "sidecar_fixture.h"

namespace cometstand::sidecar::test {
namespace {

using std::chrono::seconds;

std::size_t countNotices(const std::vector<runtime::OutgoingMessage>& messages) {
  return static_cast<std::size_t>(std::count_if(messages.begin(), messages.end(), [](const auto& message) {
    return message.message->body.AsLeaveNotice() != nullptr;
  }));
}

wire::LeaveNoticeT makeNotice(const std::string& instance, std::uint64_t born_ms = 0) {
  wire::LeaveNoticeT notice;
  notice.instance = instance;
  notice.born_ms = born_ms;
  return notice;
}

wire::LeaveNoticeListT makeList(const std::string& instance, std::uint64_t born_ms = 0) {
  wire::LeaveNoticeListT list;
  list.notices.push_back(std::make_shared<wire::LeaveNoticeT>(makeNotice(instance, born_ms)));
  return list;
}

/// Collects the responses to leave notices.
struct Responses {
  LeaveNoticeHandler handler() {
    return [this](bool is_committed) { (is_committed ? accepted : rejected) += 1; };
  }
  int accepted = 0;
  int rejected = 0;
};

bool isLive(const SidecarFixture& fixture) {
  const auto& endpoints = fixture.core.endpoints().all();
  const auto own = endpoints.find(SidecarFixture::kSelf);
  return own != endpoints.end() && own->second.live;
}

}  // namespace

TEST_CASE("a leave notice is acknowledged only once a store has committed it", "[leave]") {
  const bool is_heartbeat = GENERATE(true, false);
  SidecarFixture fixture;
  fixture.configure();
  fixture.core.onHeartbeat(SidecarFixture::makeHeartbeat("a", 1), fixture.now);
  Responses responses;
  if (is_heartbeat) {
    fixture.core.onHeartbeat(SidecarFixture::makeHeartbeat("a", 2, false), fixture.now, responses.handler());
  } else {
    fixture.core.onDeregistered({"a", 0}, fixture.now, responses.handler());
  }
  fixture.step();
  CHECK(responses.accepted == 0);
  CHECK(countNotices(fixture.sent) == 1);
  CHECK_FALSE(isLive(fixture));
  fixture.deliver(SidecarFixture::kStore, makeNotice("a"));
  CHECK(responses.accepted == 1);
  fixture.core.onDeregistered({"a", 0}, fixture.now, responses.handler());
  CHECK(responses.accepted == 2);
}

TEST_CASE("a leave notice that no store commits is rejected in time for the target to repeat it", "[leave]") {
  SidecarFixture fixture;
  fixture.configure();
  fixture.core.onHeartbeat(SidecarFixture::makeHeartbeat("a", 1), fixture.now);
  Responses responses;
  fixture.core.onDeregistered({"a", 0}, fixture.now, responses.handler());
  fixture.step();
  fixture.advance(milliseconds(650));
  CHECK(responses.rejected == 0);
  fixture.advance(milliseconds(250));
  CHECK(responses.rejected == 1);
  CHECK(countNotices(fixture.sent) >= 4);
  // It is still sent, and the next announcement gets the acknowledgement.
  fixture.core.onDeregistered({"a", 0}, fixture.now, responses.handler());
  fixture.deliver(SidecarFixture::kStore, makeNotice("a"));
  CHECK(responses.accepted == 1);
  CHECK(responses.rejected == 1);
}

TEST_CASE("a new process sends no request to its target before it knows the committed leave notices",
          "[leave]") {
  RecordingTarget target;
  RecordingCallers callers;
  SidecarCore core(SidecarFixture::makeOptions(), 1, target, callers);
  const TimePoint now{seconds(100)};
  core.start(runtime::EmptyFileReader(), now);
  core.onHeartbeat(SidecarFixture::makeHeartbeat("a", 1), now);
  CHECK_FALSE(core.leaveNotices().isRecovered());
  CHECK(core.gate().target().condition() == TargetCondition::Ready);
  CHECK(core.gate().isHeld());
}

TEST_CASE("a recovered leave notice holds against health checks and heartbeats that say ready", "[leave]") {
  SidecarFixture fixture(makeList("a", 7));
  fixture.configure();
  CHECK(fixture.target.health_checks.size() == 1);
  fixture.core.onHealth({true, "a", 2}, fixture.now);
  fixture.step();
  CHECK_FALSE(isLive(fixture));
  auto beat = SidecarFixture::makeHeartbeat("a", 3);
  beat.incarnation.born_ms = 7;
  fixture.core.onHeartbeat(beat, fixture.now);
  CHECK_FALSE(isLive(fixture));
  Responses responses;
  fixture.core.onDeregistered({"a", 7}, fixture.now, responses.handler());
  CHECK(responses.accepted == 1);
  beat.incarnation.born_ms = 8;
  fixture.core.onHeartbeat(beat, fixture.now);
  CHECK(isLive(fixture));
}

TEST_CASE("a recovered leave notice without a start time holds against every incarnation of its id",
          "[leave]") {
  SidecarFixture fixture(makeList("a"));
  fixture.configure();
  auto beat = SidecarFixture::makeHeartbeat("a", 3);
  beat.incarnation.born_ms = 7;
  fixture.core.onHeartbeat(beat, fixture.now);
  CHECK_FALSE(isLive(fixture));
  fixture.core.onHeartbeat(SidecarFixture::makeHeartbeat("b", 1), fixture.now);
  CHECK(isLive(fixture));
}

TEST_CASE("an outdated heartbeat that says draining makes the target leave", "[leave]") {
  TargetState state;
  const TimePoint now{seconds(100)};
  state.onHeartbeat(SidecarFixture::makeHeartbeat("a", 5), now);
  CHECK(state.onHeartbeat(SidecarFixture::makeHeartbeat("a", 4, false), now));
  CHECK(state.condition() == TargetCondition::Leaving);
  CHECK(state.hasLeft({"a", 0}));
}

TEST_CASE(
    "a leave notice that looks outdated by its start time is not accepted before the current one is silent",
    "[leave]") {
  TargetState state;
  TimePoint now{seconds(100)};
  auto beat = SidecarFixture::makeHeartbeat("a", 5);
  beat.incarnation.born_ms = 9;
  state.onHeartbeat(beat, now);
  const mesh::Incarnation restarted{"a", GENERATE(8U, 10U)};
  state.onDeregistered(restarted, now);
  CHECK_FALSE(state.hasLeft(restarted));
  CHECK(state.condition() == TargetCondition::Ready);
  now += TargetState::kHeartbeatTimeout;
  CHECK(state.onDeregistered(restarted, now));
  CHECK(state.hasLeft(restarted));
  CHECK(state.condition() == TargetCondition::Leaving);
}

TEST_CASE("a delayed heartbeat of an earlier incarnation does not follow one that left", "[leave]") {
  TargetState state;
  TimePoint now{seconds(100)};
  auto beat = SidecarFixture::makeHeartbeat("a", 5);
  if (GENERATE(true, false)) {
    state.onLeaveRecovered({"a", 9}, now);
  } else {
    beat.incarnation.born_ms = 9;
    state.onHeartbeat(beat, now);
    state.onDeregistered({"a", 9}, now);
  }
  beat.incarnation.born_ms = 8;
  for (; now < TimePoint(seconds(109)); now += milliseconds(1'500)) {
    ++beat.sequence;
    state.onHeartbeat(beat, now);
    CHECK(state.condition() != TargetCondition::Ready);
  }
  // It goes on, so its clock was set back before it started.
  now += TargetState::kMaxHeartbeatDelay;
  ++beat.sequence;
  state.onHeartbeat(beat, now);
  CHECK(state.condition() == TargetCondition::Ready);
}

TEST_CASE("a leave notice that is not accepted is not acknowledged", "[leave]") {
  SidecarFixture fixture;
  fixture.configure();
  auto beat = SidecarFixture::makeHeartbeat("a", 5);
  beat.incarnation.born_ms = 9;
  fixture.core.onHeartbeat(beat, fixture.now);
  beat.incarnation.born_ms = 8;
  beat.ready = false;
  Responses responses;
  fixture.core.onHeartbeat(beat, fixture.now, responses.handler());
  CHECK(responses.rejected == 1);
  CHECK(isLive(fixture));
}

}  // namespace cometstand::sidecar::test

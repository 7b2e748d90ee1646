#include "tests/sidecar/sidecar_fixture.h"

namespace cometstand::sidecar::test {

using std::chrono::seconds;
using wire::ForwardOutcome;

TEST_CASE("a request is answered as not run before there is a configuration") {
  SidecarFixture sidecar;
  const auto id = sidecar.call("/read/1");
  CHECK(sidecar.callers.answers.at(id).outcome == CallOutcome::NotRun);
  CHECK_FALSE(sidecar.core.ready());
}

TEST_CASE("a request without a route is refused, one with a route is sent to an endpoint of its service") {
  SidecarFixture sidecar;
  sidecar.configure();
  sidecar.addPeer(SidecarFixture::kPeer);
  CHECK(sidecar.core.ready());
  CHECK(sidecar.callers.answers.at(sidecar.call("/other/")).outcome == CallOutcome::NoRoute);
  const auto id = sidecar.call("/read/1");
  const auto numbers = sidecar.forwardsTo(SidecarFixture::kPeer);
  REQUIRE(numbers.size() == 1);
  sidecar.reply(SidecarFixture::kPeer, numbers[0], ForwardOutcome::Answered);
  CHECK(sidecar.callers.answers.at(id).outcome == CallOutcome::Answered);
}

TEST_CASE("a request that may have run is retried only if its route is repeatable") {
  SidecarFixture sidecar;
  sidecar.configure();
  sidecar.addPeer(SidecarFixture::kPeer);
  sidecar.addPeer(SidecarFixture::kOtherPeer);
  const std::string path = GENERATE("/read/1", "/write/1");
  const auto id = sidecar.call(path);
  auto at = SidecarFixture::kPeer;
  auto numbers = sidecar.forwardsTo(at);
  if (numbers.empty()) {
    at = SidecarFixture::kOtherPeer;
    numbers = sidecar.forwardsTo(at);
  }
  REQUIRE(numbers.size() == 1);
  sidecar.reply(at, numbers[0], ForwardOutcome::Unknown);
  const auto retried =
      sidecar.forwardsTo(at == SidecarFixture::kPeer ? SidecarFixture::kOtherPeer : SidecarFixture::kPeer);
  if (path == "/read/1") {
    CHECK(retried.size() == 1);
    CHECK_FALSE(sidecar.callers.answers.contains(id));
  } else {
    CHECK(retried.empty());
    CHECK(sidecar.callers.answers.at(id).outcome == CallOutcome::Failed);
  }
}

TEST_CASE("a refused request is retried even if not repeatable, and then answered as not run") {
  SidecarFixture sidecar;
  sidecar.configure();
  sidecar.addPeer(SidecarFixture::kPeer);
  sidecar.addPeer(SidecarFixture::kOtherPeer);
  const auto id = sidecar.call("/write/1");
  for (int i = 0; i < 2; ++i) {
    for (const auto& peer : {SidecarFixture::kPeer, SidecarFixture::kOtherPeer}) {
      for (const auto number : sidecar.forwardsTo(peer)) sidecar.reply(peer, number, ForwardOutcome::NotRun);
    }
  }
  REQUIRE(sidecar.callers.answers.contains(id));
  CHECK(sidecar.callers.answers.at(id).outcome == CallOutcome::NotRun);
  CHECK(sidecar.callers.answers.at(id).retry_after > Duration::zero());
}

TEST_CASE("a request whose endpoint does not reply is answered and cancelled at its deadline") {
  SidecarFixture sidecar;
  sidecar.configure();
  sidecar.addPeer(SidecarFixture::kPeer);
  const auto id = sidecar.call("/read/1", milliseconds(300));
  sidecar.advance(milliseconds(299));
  CHECK_FALSE(sidecar.callers.answers.contains(id));
  sidecar.advance(milliseconds(2));
  CHECK(sidecar.callers.answers.at(id).outcome == CallOutcome::TimedOut);
  const auto cancels = std::count_if(sidecar.sent.begin(), sidecar.sent.end(), [](const auto& message) {
    return message.message->body.AsForwardCancel() != nullptr;
  });
  CHECK(cancels == 1);
}

TEST_CASE("a request whose caller disconnects is dropped without an answer") {
  SidecarFixture sidecar;
  sidecar.configure();
  sidecar.addPeer(SidecarFixture::kPeer);
  const auto id = sidecar.call("/read/1");
  sidecar.core.onCallerGone(id, sidecar.now);
  sidecar.step();
  CHECK(sidecar.core.callsInFlight() == 0);
  CHECK(sidecar.callers.answers.empty());
}

// Guards against requests that were accepted 5.6 s after the start of a planned stop and were still
// unanswered at its end.
TEST_CASE("late in a planned stop only requests that can be answered before its end are accepted") {
  SidecarFixture sidecar;
  sidecar.configure();
  sidecar.addPeer(SidecarFixture::kPeer);
  sidecar.core.beginStop(sidecar.now);
  sidecar.step();
  CHECK_FALSE(sidecar.core.ready());
  const auto early_call = sidecar.call("/read/1", seconds(1));
  CHECK_FALSE(sidecar.callers.answers.contains(early_call));
  for (const auto number : sidecar.forwardsTo(SidecarFixture::kPeer)) {
    sidecar.reply(SidecarFixture::kPeer, number, ForwardOutcome::Answered);
  }
  // Keeps one request in flight, so that the sidecar does not complete the stop early.
  for (int i = 0; i < 6; ++i) {
    sidecar.call("/read/1", seconds(1));
    sidecar.advance(milliseconds(900));
  }
  REQUIRE_FALSE(sidecar.core.stopped());
  const auto late_call = sidecar.call("/read/1", seconds(1));
  REQUIRE(sidecar.callers.answers.contains(late_call));
  CHECK(sidecar.callers.answers.at(late_call).outcome == CallOutcome::NotRun);
  const auto short_call = sidecar.call("/read/1", milliseconds(200));
  CHECK_FALSE(sidecar.callers.answers.contains(short_call));
}

TEST_CASE(
    "in a planned stop a request is refused at once if its answer is expected after the end of the stop") {
  SidecarFixture sidecar;
  auto configuration = SidecarFixture::makeConfiguration();
  for (auto& route : configuration.routes) route->timeout_ms = 20'000;
  sidecar.configure(1, configuration);
  sidecar.addPeer(SidecarFixture::kPeer);
  // Reads take 6 s, writes 20 ms.
  for (const auto& [path, time] :
       {std::pair{"/read/1", milliseconds(6'000)}, {"/write/1", milliseconds(20)}}) {
    sidecar.call(path);
    const auto numbers = sidecar.forwardsTo(SidecarFixture::kPeer);
    sidecar.advance(time);
    sidecar.reply(SidecarFixture::kPeer, numbers.at(0), ForwardOutcome::Answered);
  }
  sidecar.core.beginStop(sidecar.now);
  sidecar.step();
  const auto slow = sidecar.call("/read/1");
  REQUIRE(sidecar.callers.answers.contains(slow));
  CHECK(sidecar.callers.answers.at(slow).outcome == CallOutcome::NotRun);
  // The successor process needs a second to start.
  CHECK(sidecar.callers.answers.at(slow).retry_after >= seconds(1));
  CHECK_FALSE(sidecar.callers.answers.contains(sidecar.call("/write/1")));
  // A request whose deadline is before the end of the stop is accepted.
  CHECK_FALSE(sidecar.callers.answers.contains(sidecar.call("/read/1", seconds(3))));
}

TEST_CASE("after the end of a planned stop all requests are refused as not run") {
  SidecarFixture sidecar;
  sidecar.configure();
  sidecar.addPeer(SidecarFixture::kPeer);
  sidecar.core.beginStop(sidecar.now);
  sidecar.advance(seconds(3));
  REQUIRE(sidecar.core.stopped());
  const auto last = sidecar.call("/read/1", milliseconds(200));
  CHECK_FALSE(sidecar.callers.answers.contains(last));
  // The request is accepted, so the process must not exit yet.
  CHECK_FALSE(sidecar.core.stopped());
  sidecar.reply(SidecarFixture::kPeer, sidecar.forwardsTo(SidecarFixture::kPeer).at(0),
                ForwardOutcome::Answered);
  REQUIRE(sidecar.core.stopped());
  sidecar.core.onStopEnding(sidecar.now);
  const auto refused_call = sidecar.call("/read/1", milliseconds(200));
  REQUIRE(sidecar.callers.answers.contains(refused_call));
  CHECK(sidecar.callers.answers.at(refused_call).outcome == CallOutcome::NotRun);
}

TEST_CASE(
    "the retry delay grows with the share of refused requests, up to a part of the caller's remaining time") {
  SidecarFixture sidecar;
  sidecar.configure();
  const auto retry_delay_for = [&sidecar](Duration deadline) {
    return sidecar.callers.answers.at(sidecar.call("/read/1", deadline)).retry_after;
  };
  const Duration first_delay = retry_delay_for(seconds(3));
  CHECK(first_delay > Duration::zero());
  CHECK(first_delay <= milliseconds(160));
  Duration max_delay = Duration::zero();
  for (int i = 0; i < 100; ++i) max_delay = std::max(max_delay, retry_delay_for(seconds(3)));
  CHECK(max_delay > milliseconds(700));
  // The delay is limited by a third of the caller's deadline plus the shortest delay of 80 ms.
  CHECK(max_delay <= milliseconds(1'080));
  Duration max_short_delay = Duration::zero();
  for (int i = 0; i < 100; ++i)
    max_short_delay = std::max(max_short_delay, retry_delay_for(milliseconds(300)));
  CHECK(max_short_delay <= milliseconds(180));
}

}  // namespace cometstand::sidecar::test

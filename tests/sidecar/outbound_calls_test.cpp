#include "tests/sidecar/sidecar_fixture.h"

namespace cometstand::sidecar::test {

using std::chrono::seconds;
using wire::ForwardOutcome;

TEST_CASE("a caller is refused as not run before any configuration is known") {
  SidecarFixture sidecar;
  const auto id = sidecar.call("/read/1");
  CHECK(sidecar.callers.answers.at(id).outcome == CallOutcome::NotRun);
  CHECK_FALSE(sidecar.core.ready());
}

TEST_CASE("a request without a route is refused, one with a route goes to an endpoint of its service") {
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

TEST_CASE("a request that may have run is sent again only if it may be repeated") {
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
  const auto again =
      sidecar.forwardsTo(at == SidecarFixture::kPeer ? SidecarFixture::kOtherPeer : SidecarFixture::kPeer);
  if (path == "/read/1") {
    CHECK(again.size() == 1);
    CHECK_FALSE(sidecar.callers.answers.contains(id));
  } else {
    CHECK(again.empty());
    CHECK(sidecar.callers.answers.at(id).outcome == CallOutcome::Failed);
  }
}

TEST_CASE("a refused request goes to another endpoint, also if it may not be repeated, and then is not run") {
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

TEST_CASE("a request whose endpoint says nothing is answered at its deadline and recalled") {
  SidecarFixture sidecar;
  sidecar.configure();
  sidecar.addPeer(SidecarFixture::kPeer);
  const auto id = sidecar.call("/read/1", milliseconds(300));
  sidecar.pass(milliseconds(299));
  CHECK_FALSE(sidecar.callers.answers.contains(id));
  sidecar.pass(milliseconds(2));
  CHECK(sidecar.callers.answers.at(id).outcome == CallOutcome::TimedOut);
  const auto cancels = std::count_if(sidecar.sent.begin(), sidecar.sent.end(), [](const auto& message) {
    return message.message->body.AsForwardCancel() != nullptr;
  });
  CHECK(cancels == 1);
}

TEST_CASE("a caller who leaves takes the request back") {
  SidecarFixture sidecar;
  sidecar.configure();
  sidecar.addPeer(SidecarFixture::kPeer);
  const auto id = sidecar.call("/read/1");
  sidecar.core.onCallerGone(id, sidecar.now);
  sidecar.step();
  CHECK(sidecar.core.callsInFlight() == 0);
  CHECK(sidecar.callers.answers.empty());
}

// wn-mesh, hunt 869210ec, trouble-3 with seed 858760681307: requests that were taken 5.6 s after the stop
// began were given up at its end.
TEST_CASE("late in a planned stop only requests are taken that can be answered before its end") {
  SidecarFixture sidecar;
  sidecar.configure();
  sidecar.addPeer(SidecarFixture::kPeer);
  sidecar.core.beginStop(sidecar.now);
  sidecar.step();
  CHECK_FALSE(sidecar.core.ready());
  const auto early = sidecar.call("/read/1", seconds(1));
  CHECK_FALSE(sidecar.callers.answers.contains(early));
  for (const auto number : sidecar.forwardsTo(SidecarFixture::kPeer)) {
    sidecar.reply(SidecarFixture::kPeer, number, ForwardOutcome::Answered);
  }
  // One request is always on its way, so that the sidecar does not end before.
  for (int i = 0; i < 6; ++i) {
    sidecar.call("/read/1", seconds(1));
    sidecar.pass(milliseconds(900));
  }
  REQUIRE_FALSE(sidecar.core.stopped());
  const auto late = sidecar.call("/read/1", seconds(1));
  REQUIRE(sidecar.callers.answers.contains(late));
  CHECK(sidecar.callers.answers.at(late).outcome == CallOutcome::NotRun);
  const auto short_one = sidecar.call("/read/1", milliseconds(200));
  CHECK_FALSE(sidecar.callers.answers.contains(short_one));
}

TEST_CASE("in a planned stop a request is refused at once if its answer usually comes after the end") {
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
    sidecar.pass(time);
    sidecar.reply(SidecarFixture::kPeer, numbers.at(0), ForwardOutcome::Answered);
  }
  sidecar.core.beginStop(sidecar.now);
  sidecar.step();
  const auto slow = sidecar.call("/read/1");
  REQUIRE(sidecar.callers.answers.contains(slow));
  CHECK(sidecar.callers.answers.at(slow).outcome == CallOutcome::NotRun);
  // The process that follows is not up before.
  CHECK(sidecar.callers.answers.at(slow).retry_after >= seconds(1));
  CHECK_FALSE(sidecar.callers.answers.contains(sidecar.call("/write/1")));
  // Who leaves before the end loses nothing.
  CHECK_FALSE(sidecar.callers.answers.contains(sidecar.call("/read/1", seconds(3))));
}

TEST_CASE("once a planned stop ends, all that still comes is refused as not run") {
  SidecarFixture sidecar;
  sidecar.configure();
  sidecar.addPeer(SidecarFixture::kPeer);
  sidecar.core.beginStop(sidecar.now);
  sidecar.pass(seconds(3));
  REQUIRE(sidecar.core.stopped());
  const auto last = sidecar.call("/read/1", milliseconds(200));
  CHECK_FALSE(sidecar.callers.answers.contains(last));
  // It is taken, so the process may not end.
  CHECK_FALSE(sidecar.core.stopped());
  sidecar.reply(SidecarFixture::kPeer, sidecar.forwardsTo(SidecarFixture::kPeer).at(0),
                ForwardOutcome::Answered);
  REQUIRE(sidecar.core.stopped());
  sidecar.core.onStopEnding(sidecar.now);
  const auto too_late = sidecar.call("/read/1", milliseconds(200));
  REQUIRE(sidecar.callers.answers.contains(too_late));
  CHECK(sidecar.callers.answers.at(too_late).outcome == CallOutcome::NotRun);
}

TEST_CASE(
    "the more requests are refused, the later callers are told to come back, within what they have left") {
  SidecarFixture sidecar;
  sidecar.configure();
  const auto refused_for = [&sidecar](Duration deadline) {
    return sidecar.callers.answers.at(sidecar.call("/read/1", deadline)).retry_after;
  };
  const Duration first = refused_for(seconds(3));
  CHECK(first > Duration::zero());
  CHECK(first <= milliseconds(160));
  Duration longest = Duration::zero();
  for (int i = 0; i < 100; ++i) longest = std::max(longest, refused_for(seconds(3)));
  CHECK(longest > milliseconds(700));
  // A caller waits for a third of its time at most; the least wait is 80 ms.
  CHECK(longest <= milliseconds(1'080));
  Duration longest_of_short = Duration::zero();
  for (int i = 0; i < 100; ++i) longest_of_short = std::max(longest_of_short, refused_for(milliseconds(300)));
  CHECK(longest_of_short <= milliseconds(180));
}

}  // namespace cometstand::sidecar::test

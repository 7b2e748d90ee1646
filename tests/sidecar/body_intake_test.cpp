// Large request bodies that are received by credit: limits, refusals and the latency of urgent messages.
#include "sidecar/body_intake.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <set>

namespace cometstand::sidecar::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The intake of one sidecar. The test simulates the senders; the link of a sender has the sender's number.
class IntakeFixture {
 public:
  IntakeFixture() : intake(credit, makeListener()) {}

  static GateRequester requesterOf(std::uint64_t sender) { return {runtime::LinkId{sender}, sender}; }

  void announce(std::uint64_t sender, std::uint32_t bytes, std::uint32_t patience_ms = 400,
                std::uint32_t deadline_ms = 5'000) {
    auto request = std::make_shared<wire::ForwardRequestT>();
    request->announced_bytes = bytes;
    request->patience_ms = patience_ms;
    request->deadline_ms = deadline_ms;
    intake.announce(requesterOf(sender), std::move(request), now);
  }

  /// Sends the granted bytes of one sender.
  void sendGranted(std::uint64_t sender) {
    const std::uint32_t bytes = std::exchange(granted[sender], 0);
    intake.onPart(requesterOf(sender), std::vector<std::uint8_t>(bytes, 'x'), now);
  }

  std::uint32_t allGranted() const {
    std::uint32_t bytes = 0;
    for (const auto& [sender, grant] : granted) bytes += grant;
    return bytes;
  }

  BodyIntake::Listener makeListener() {
    BodyIntake::Listener listener;
    listener.grant = [this](const GateRequester& requester, std::uint32_t bytes) {
      granted[requester.request_id] += bytes;
      grants.push_back({requester.request_id, bytes});
    };
    listener.whole = [this](const GateRequester& requester,
                            const std::shared_ptr<wire::ForwardRequestT>& request) {
      whole[requester.request_id] = request;
    };
    listener.refuse = [this](const GateRequester& requester, const wire::ForwardRequestT& /*request*/,
                             wire::NotRunReason reason) { rejected[requester.request_id] = reason; };
    return listener;
  }

  struct Grant {
    std::uint64_t sender = 0;
    std::uint32_t bytes = 0;
  };

  TimePoint now{seconds(100)};
  std::map<std::uint64_t, std::uint32_t> granted;
  std::deque<Grant> grants;
  std::map<std::uint64_t, std::shared_ptr<wire::ForwardRequestT>> whole;
  std::map<std::uint64_t, wire::NotRunReason> rejected;
  ReceiveCredit credit;
  BodyIntake intake;
};

/// Simulates a link of 800,000 bytes per second (6.4 Mbit/s) that delivers the bytes in the order of their
/// grants.
/// @return the longest time for which an urgent message would have waited behind bytes on the link.
Duration simulateNarrowLink(IntakeFixture& fixture, Duration time) {
  constexpr double kBytesPerSecond = 800'000;
  const TimePoint end = fixture.now + time;
  Duration longest{};
  while (fixture.now < end) {
    std::uint32_t queued = 0;
    for (const auto& grant : fixture.grants) queued += grant.bytes;
    const auto wait =
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(queued / kBytesPerSecond));
    longest = std::max(longest, wait);
    if (fixture.grants.empty()) {
      fixture.now = std::min(end, fixture.intake.nextTimer());
    } else {
      const auto next = fixture.grants.front();
      fixture.grants.pop_front();
      fixture.now +=
          std::chrono::duration_cast<Duration>(std::chrono::duration<double>(next.bytes / kBytesPerSecond));
      fixture.intake.onPart(IntakeFixture::requesterOf(next.sender),
                            std::vector<std::uint8_t>(next.bytes, 'x'), fixture.now);
    }
    fixture.intake.onTimer(fixture.now);
  }
  return longest;
}

}  // namespace

TEST_CASE("a body is received completely, in the parts that were granted") {
  IntakeFixture fixture;
  fixture.announce(1, 60'000);
  while (!fixture.whole.contains(1)) {
    REQUIRE(fixture.granted[1] > 0);
    fixture.now += milliseconds(10);
    fixture.sendGranted(1);
  }
  CHECK(fixture.whole.at(1)->body.size() == 60'000);
  CHECK(fixture.whole.at(1)->deadline_ms < 5'000);
  CHECK(fixture.intake.size() == 0);
}

TEST_CASE("concurrent bodies are granted a bounded number of bytes, in the order of their announcements") {
  IntakeFixture fixture;
  for (std::uint64_t sender = 1; sender <= 5; ++sender) fixture.announce(sender, 60'000);
  CHECK(fixture.allGranted() > 0);
  CHECK(fixture.allGranted() <= 64 * 1024);
  CHECK(fixture.granted[1] > 0);
  CHECK(fixture.granted[5] == 0);
}

TEST_CASE("the wait of an urgent message behind bodies on a narrow link is bounded") {
  IntakeFixture fixture;
  constexpr std::uint64_t kSenders = 20;
  for (std::uint64_t sender = 1; sender <= kSenders; ++sender) fixture.announce(sender, 60'000, 2'000);
  const Duration longest = simulateNarrowLink(fixture, seconds(2));
  CHECK(fixture.whole.size() == kSenders);
  // Without credit the bodies would delay the message by 1.5 s.
  CHECK(longest < milliseconds(60));
}

TEST_CASE(
    "a request whose body cannot start within its queue time is refused before any byte of it is sent") {
  IntakeFixture fixture;
  for (std::uint64_t sender = 1; sender <= 30; ++sender) fixture.announce(sender, 60'000, 400);
  CHECK(fixture.rejected.contains(30));
  CHECK(fixture.rejected.at(30) == wire::NotRunReason::Full);
  CHECK_FALSE(fixture.rejected.contains(1));
  simulateNarrowLink(fixture, seconds(2));
  CHECK(fixture.whole.size() + fixture.rejected.size() == 30);
  for (const auto& [sender, reason] : fixture.rejected) CHECK_FALSE(fixture.whole.contains(sender));
}

TEST_CASE("a stalled sender does not delay others, and its request is refused at its deadline") {
  IntakeFixture fixture;
  fixture.announce(1, 1'000'000, 400, 1'000);
  fixture.announce(2, 30'000, 2'000);
  CHECK(fixture.granted[2] == 0);
  fixture.granted[1] = 0;
  while (fixture.now < TimePoint(seconds(102)) && !fixture.whole.contains(2)) {
    fixture.now = fixture.intake.nextTimer();
    fixture.intake.onTimer(fixture.now);
    fixture.sendGranted(2);
  }
  CHECK(fixture.whole.contains(2));
  fixture.now = TimePoint(seconds(101));
  fixture.intake.onTimer(fixture.now);
  CHECK(fixture.rejected.contains(1));
  CHECK(fixture.intake.nextTimer() == TimePoint::max());
}

TEST_CASE("a body that is cancelled or whose link closes releases its credit and is not forwarded") {
  IntakeFixture fixture;
  fixture.announce(1, 500'000, 5'000);
  fixture.announce(2, 30'000, 5'000);
  SECTION("cancelled") { fixture.intake.cancel(IntakeFixture::requesterOf(1), fixture.now); }
  SECTION("link closed") { fixture.intake.cancelLink(runtime::LinkId{1}, fixture.now); }
  CHECK(fixture.granted[2] > 0);
  fixture.sendGranted(1);
  CHECK_FALSE(fixture.whole.contains(1));
  CHECK(fixture.intake.size() == 1);
}

TEST_CASE("when the target leaves, started bodies continue and other requests are refused") {
  IntakeFixture fixture;
  fixture.announce(1, 500'000, 5'000);
  fixture.announce(2, 30'000, 5'000);
  fixture.intake.refuseUnstarted(wire::NotRunReason::Leaving, fixture.now);
  CHECK(fixture.rejected.size() == 1);
  CHECK(fixture.rejected.at(2) == wire::NotRunReason::Leaving);
  CHECK(fixture.intake.size() == 1);
}

TEST_CASE("bytes beyond the granted credit are not accepted") {
  IntakeFixture fixture;
  fixture.announce(1, 60'000);
  const std::uint32_t granted = fixture.granted[1];
  fixture.intake.onPart(IntakeFixture::requesterOf(1), std::vector<std::uint8_t>(granted + 1, 'x'),
                        fixture.now);
  CHECK(fixture.intake.size() == 1);
  fixture.sendGranted(1);
  CHECK_FALSE(fixture.whole.contains(1));
}

}  // namespace cometstand::sidecar::test

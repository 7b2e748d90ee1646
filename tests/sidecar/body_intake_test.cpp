// Large bodies that come as the receiver grants: bounds, refusals, and what urgent requests wait beside them.
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

/// The intake of one sidecar. Senders are played by the test: each has the link of its number.
class IntakeFixture {
 public:
  IntakeFixture() : intake(credit, makeListener()) {}

  static GateAsker askerOf(std::uint64_t sender) { return {runtime::LinkId{sender}, sender}; }

  void announce(std::uint64_t sender, std::uint32_t bytes, std::uint32_t patience_ms = 400,
                std::uint32_t deadline_ms = 5'000) {
    auto request = std::make_shared<wire::ForwardRequestT>();
    request->announced_bytes = bytes;
    request->patience_ms = patience_ms;
    request->deadline_ms = deadline_ms;
    intake.announce(askerOf(sender), std::move(request), now);
  }

  /// The sender sends what it was granted.
  void sendGranted(std::uint64_t sender) {
    const std::uint32_t bytes = std::exchange(granted[sender], 0);
    intake.onPart(askerOf(sender), std::vector<std::uint8_t>(bytes, 'x'), now);
  }

  std::uint32_t allGranted() const {
    std::uint32_t bytes = 0;
    for (const auto& [sender, grant] : granted) bytes += grant;
    return bytes;
  }

  BodyIntake::Listener makeListener() {
    BodyIntake::Listener listener;
    listener.grant = [this](const GateAsker& asker, std::uint32_t bytes) {
      granted[asker.request_id] += bytes;
      grants.push_back({asker.request_id, bytes});
    };
    listener.whole = [this](const GateAsker& asker, const std::shared_ptr<wire::ForwardRequestT>& request) {
      whole[asker.request_id] = request;
    };
    listener.refuse = [this](const GateAsker& asker, const wire::ForwardRequestT& /*request*/,
                             wire::NotRunReason reason) { refused[asker.request_id] = reason; };
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
  std::map<std::uint64_t, wire::NotRunReason> refused;
  ReceiveCredit credit;
  BodyIntake intake;
};

/// Plays a link of 800,000 bytes a second (6.4 Mbit/s) over which granted bytes come, the first granted
/// first.
/// @return the longest time for which an urgent message would have waited behind bytes on the link.
Duration playNarrowLink(IntakeFixture& fixture, Duration time) {
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
      fixture.intake.onPart(IntakeFixture::askerOf(next.sender), std::vector<std::uint8_t>(next.bytes, 'x'),
                            fixture.now);
    }
    fixture.intake.onTimer(fixture.now);
  }
  return longest;
}

}  // namespace

TEST_CASE("a body comes whole, in the parts that were granted") {
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

TEST_CASE("many bodies at once are granted a bounded number of bytes, the first one first") {
  IntakeFixture fixture;
  for (std::uint64_t sender = 1; sender <= 5; ++sender) fixture.announce(sender, 60'000);
  CHECK(fixture.allGranted() > 0);
  CHECK(fixture.allGranted() <= 64 * 1024);
  CHECK(fixture.granted[1] > 0);
  CHECK(fixture.granted[5] == 0);
}

TEST_CASE("an urgent message never waits long behind bodies on a narrow link") {
  IntakeFixture fixture;
  constexpr std::uint64_t kSenders = 20;
  for (std::uint64_t sender = 1; sender <= kSenders; ++sender) fixture.announce(sender, 60'000, 2'000);
  const Duration longest = playNarrowLink(fixture, seconds(2));
  CHECK(fixture.whole.size() == kSenders);
  // Sent as they are, the bodies would hold it up for 1.5 s.
  CHECK(longest < milliseconds(60));
}

TEST_CASE("a body that could not begin to come within its patience is refused before any byte of it") {
  IntakeFixture fixture;
  for (std::uint64_t sender = 1; sender <= 30; ++sender) fixture.announce(sender, 60'000, 400);
  CHECK(fixture.refused.contains(30));
  CHECK(fixture.refused.at(30) == wire::NotRunReason::Full);
  CHECK_FALSE(fixture.refused.contains(1));
  playNarrowLink(fixture, seconds(2));
  CHECK(fixture.whole.size() + fixture.refused.size() == 30);
  for (const auto& [sender, reason] : fixture.refused) CHECK_FALSE(fixture.whole.contains(sender));
}

TEST_CASE("a sender that falls silent does not hold up the others, and is refused at its deadline") {
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
  CHECK(fixture.refused.contains(1));
  CHECK(fixture.intake.nextTimer() == TimePoint::max());
}

TEST_CASE("a body that is given up, or whose link ends, makes room and is not passed on") {
  IntakeFixture fixture;
  fixture.announce(1, 500'000, 5'000);
  fixture.announce(2, 30'000, 5'000);
  SECTION("given up") { fixture.intake.cancel(IntakeFixture::askerOf(1), fixture.now); }
  SECTION("link ended") { fixture.intake.cancelLink(runtime::LinkId{1}, fixture.now); }
  CHECK(fixture.granted[2] > 0);
  fixture.sendGranted(1);
  CHECK_FALSE(fixture.whole.contains(1));
  CHECK(fixture.intake.size() == 1);
}

TEST_CASE("when the target leaves, bodies that come go on and others are refused") {
  IntakeFixture fixture;
  fixture.announce(1, 500'000, 5'000);
  fixture.announce(2, 30'000, 5'000);
  fixture.intake.refuseUnbegun(wire::NotRunReason::Leaving, fixture.now);
  CHECK(fixture.refused.size() == 1);
  CHECK(fixture.refused.at(2) == wire::NotRunReason::Leaving);
  CHECK(fixture.intake.size() == 1);
}

TEST_CASE("bytes beyond what was granted are not taken") {
  IntakeFixture fixture;
  fixture.announce(1, 60'000);
  const std::uint32_t granted = fixture.granted[1];
  fixture.intake.onPart(IntakeFixture::askerOf(1), std::vector<std::uint8_t>(granted + 1, 'x'), fixture.now);
  CHECK(fixture.intake.size() == 1);
  fixture.sendGranted(1);
  CHECK_FALSE(fixture.whole.contains(1));
}

}  // namespace cometstand::sidecar::test

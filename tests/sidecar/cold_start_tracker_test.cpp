#include "sidecar/cold_start_tracker.h"

#include <catch2/catch.hpp>

using namespace cometstand;
using sidecar::TargetWarmth;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct WarmthFixture {
  WarmthFixture() { warmth.setColdStart({14, seconds(3)}); }

  TargetWarmth warmth;
  TimePoint now{seconds(100)};
};

}  // namespace

TEST_CASE_METHOD(WarmthFixture, "a target is cold for the time that it reports") {
  CHECK_FALSE(warmth.isCold(now));
  warmth.onHeartbeat(seconds(2), now);
  CHECK(warmth.isCold(now + milliseconds(1'999)));
  // The margin of 20 ms covers the rounding of times on the wire.
  CHECK(warmth.isCold(now + seconds(2)));
  CHECK_FALSE(warmth.isCold(now + milliseconds(2'020)));
}

TEST_CASE_METHOD(
    WarmthFixture,
    "a suspicion lasts for a cold start and is not cleared by a heartbeat that reports a warm target") {
  CHECK(warmth.doubt(now));
  CHECK_FALSE(warmth.doubt(now));
  warmth.onHeartbeat(Duration::zero(), now);
  CHECK(warmth.isCold(now + milliseconds(2'999)));
  CHECK_FALSE(warmth.isCold(now + seconds(3)));
}

TEST_CASE_METHOD(WarmthFixture,
                 "a health check response clears a suspicion whether it reports a warm or a cold target") {
  warmth.doubt(now);
  warmth.onAnswered(Duration::zero(), now);
  CHECK_FALSE(warmth.isCold(now));
  warmth.doubt(now);
  warmth.onAnswered(seconds(1), now);
  CHECK(warmth.isCold(now));
  CHECK(warmth.coldUntil() == now + milliseconds(1'020));
}

TEST_CASE_METHOD(WarmthFixture, "a health check without a reported cold time does not clear a suspicion") {
  warmth.doubt(now);
  warmth.onAnswered(std::nullopt, now);
  CHECK(warmth.isCold(now + milliseconds(2'999)));
}

TEST_CASE_METHOD(WarmthFixture,
                 "a suspected target is checked at once and again until a response reports its cold time") {
  CHECK_FALSE(warmth.takeQuestion(now));
  warmth.doubt(now);
  CHECK(warmth.takeQuestion(now));
  CHECK_FALSE(warmth.takeQuestion(now + milliseconds(100)));
  // The response reports no cold time.
  warmth.onAnswered(std::nullopt, now + milliseconds(100));
  CHECK_FALSE(warmth.takeQuestion(now + milliseconds(400)));
  CHECK(warmth.takeQuestion(now + milliseconds(500)));
  // A new suspicion requires a new health check.
  warmth.onAnswered(Duration::zero(), now + milliseconds(510));
  warmth.doubt(now + milliseconds(520));
  CHECK(warmth.takeQuestion(now + milliseconds(520)));
}

TEST_CASE_METHOD(WarmthFixture,
                 "the first report of another instance replaces the cold time of the one before") {
  warmth.onHeartbeat(seconds(3), now);
  warmth.onNewInstance(seconds(1), now);
  CHECK(warmth.coldUntil() == now + milliseconds(1'020));
}

TEST_CASE("without a rate limit for cold targets there are no suspicions and no health checks") {
  TargetWarmth warmth;
  const TimePoint now{seconds(100)};
  CHECK_FALSE(warmth.doubt(now));
  CHECK_FALSE(warmth.takeQuestion(now));
  warmth.onHeartbeat(seconds(3), now);
  CHECK_FALSE(warmth.isCold(now));
}

TEST_CASE_METHOD(WarmthFixture,
                 "the response to a health check that was sent before a suspicion does not clear it") {
  warmth.doubt(now);
  REQUIRE(warmth.takeQuestion(now));
  warmth.doubt(now + milliseconds(100));
  warmth.onAnswered(Duration::zero(), now + milliseconds(200));
  CHECK(warmth.isCold(now + milliseconds(200)));
  // Another health check is due.
  CHECK(warmth.takeQuestion(now + milliseconds(500)));
  warmth.onAnswered(Duration::zero(), now + milliseconds(510));
  CHECK_FALSE(warmth.isCold(now + milliseconds(510)));
}

TEST_CASE_METHOD(
    WarmthFixture,
    "the response to a health check that was sent before a report of a cold target does not make it warm") {
  warmth.doubt(now);
  REQUIRE(warmth.takeQuestion(now));
  warmth.onHeartbeat(seconds(3), now + milliseconds(10));
  warmth.onAnswered(Duration::zero(), now + milliseconds(20));
  CHECK(warmth.isCold(now + milliseconds(20)));
}

TEST_CASE_METHOD(WarmthFixture,
                 "an unanswered health check is repeated after its timeout, with one pending at a time") {
  warmth.doubt(now);
  REQUIRE(warmth.takeQuestion(now));
  CHECK_FALSE(warmth.takeQuestion(now + milliseconds(1'900)));
  CHECK(warmth.takeQuestion(now + milliseconds(2'000)));
}

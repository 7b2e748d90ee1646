#include "sidecar/cold_start_tracker.h"

#include <catch2/catch.hpp>

using namespace cometstand;
using sidecar::ColdStartTracker;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct ColdStartFixture {
  ColdStartFixture() { warmth.setColdStart({14, seconds(3)}); }

  ColdStartTracker warmth;
  TimePoint now{seconds(100)};
};

}  // namespace

TEST_CASE_METHOD(ColdStartFixture, "a target is cold for the time that it reports") {
  CHECK_FALSE(warmth.isCold(now));
  warmth.onHeartbeat(seconds(2), now);
  CHECK(warmth.isCold(now + milliseconds(1'999)));
  // The margin of 20 ms covers the rounding of times on the wire.
  CHECK(warmth.isCold(now + seconds(2)));
  CHECK_FALSE(warmth.isCold(now + milliseconds(2'020)));
}

TEST_CASE_METHOD(
    ColdStartFixture,
    "a target is presumed cold for a cold start, and a heartbeat that reports it warm does not end this") {
  CHECK(warmth.presumeCold(now));
  CHECK_FALSE(warmth.presumeCold(now));
  warmth.onHeartbeat(Duration::zero(), now);
  CHECK(warmth.isCold(now + milliseconds(2'999)));
  CHECK_FALSE(warmth.isCold(now + seconds(3)));
}

TEST_CASE_METHOD(
    ColdStartFixture,
    "a health check response ends the presumed cold state whether it reports a warm or a cold target") {
  warmth.presumeCold(now);
  warmth.onAnswered(Duration::zero(), now);
  CHECK_FALSE(warmth.isCold(now));
  warmth.presumeCold(now);
  warmth.onAnswered(seconds(1), now);
  CHECK(warmth.isCold(now));
  CHECK(warmth.coldUntil() == now + milliseconds(1'020));
}

TEST_CASE_METHOD(ColdStartFixture,
                 "a health check without a reported cold time does not end the presumed cold state") {
  warmth.presumeCold(now);
  warmth.onAnswered(std::nullopt, now);
  CHECK(warmth.isCold(now + milliseconds(2'999)));
}

TEST_CASE_METHOD(
    ColdStartFixture,
    "a target that is presumed cold is checked at once and again until a response reports its cold time") {
  CHECK_FALSE(warmth.startHealthCheckIfDue(now));
  warmth.presumeCold(now);
  CHECK(warmth.startHealthCheckIfDue(now));
  CHECK_FALSE(warmth.startHealthCheckIfDue(now + milliseconds(100)));
  // The response reports no cold time.
  warmth.onAnswered(std::nullopt, now + milliseconds(100));
  CHECK_FALSE(warmth.startHealthCheckIfDue(now + milliseconds(400)));
  CHECK(warmth.startHealthCheckIfDue(now + milliseconds(500)));
  // Once presumed cold again, the target needs a new health check.
  warmth.onAnswered(Duration::zero(), now + milliseconds(510));
  warmth.presumeCold(now + milliseconds(520));
  CHECK(warmth.startHealthCheckIfDue(now + milliseconds(520)));
}

TEST_CASE_METHOD(ColdStartFixture,
                 "the first report of another instance replaces the cold time of the one before") {
  warmth.onHeartbeat(seconds(3), now);
  warmth.onNewInstance(seconds(1), now);
  CHECK(warmth.coldUntil() == now + milliseconds(1'020));
}

TEST_CASE("without a rate limit for cold targets, no target is presumed cold and no health check is due") {
  ColdStartTracker warmth;
  const TimePoint now{seconds(100)};
  CHECK_FALSE(warmth.presumeCold(now));
  CHECK_FALSE(warmth.startHealthCheckIfDue(now));
  warmth.onHeartbeat(seconds(3), now);
  CHECK_FALSE(warmth.isCold(now));
}

TEST_CASE_METHOD(
    ColdStartFixture,
    "the response to a health check that was sent before the target was presumed cold does not end that") {
  warmth.presumeCold(now);
  REQUIRE(warmth.startHealthCheckIfDue(now));
  warmth.presumeCold(now + milliseconds(100));
  warmth.onAnswered(Duration::zero(), now + milliseconds(200));
  CHECK(warmth.isCold(now + milliseconds(200)));
  // Another health check is due.
  CHECK(warmth.startHealthCheckIfDue(now + milliseconds(500)));
  warmth.onAnswered(Duration::zero(), now + milliseconds(510));
  CHECK_FALSE(warmth.isCold(now + milliseconds(510)));
}

TEST_CASE_METHOD(
    ColdStartFixture,
    "the response to a health check that was sent before a report of a cold target does not make it warm") {
  warmth.presumeCold(now);
  REQUIRE(warmth.startHealthCheckIfDue(now));
  warmth.onHeartbeat(seconds(3), now + milliseconds(10));
  warmth.onAnswered(Duration::zero(), now + milliseconds(20));
  CHECK(warmth.isCold(now + milliseconds(20)));
}

TEST_CASE_METHOD(ColdStartFixture,
                 "an unanswered health check is repeated after its timeout, with one pending at a time") {
  warmth.presumeCold(now);
  REQUIRE(warmth.startHealthCheckIfDue(now));
  CHECK_FALSE(warmth.startHealthCheckIfDue(now + milliseconds(1'900)));
  CHECK(warmth.startHealthCheckIfDue(now + milliseconds(2'000)));
}

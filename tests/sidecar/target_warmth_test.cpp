#include "sidecar/target_warmth.h"

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

TEST_CASE_METHOD(WarmthFixture, "a target is cold for as long as it says") {
  CHECK_FALSE(warmth.isCold(now));
  warmth.onHeartbeat(seconds(2), now);
  CHECK(warmth.isCold(now + milliseconds(1'999)));
  // A little longer: times on the wire are rounded.
  CHECK(warmth.isCold(now + seconds(2)));
  CHECK_FALSE(warmth.isCold(now + milliseconds(2'020)));
}

TEST_CASE_METHOD(WarmthFixture, "a doubt lasts for a cold start, and a heartbeat that says warm ends none") {
  CHECK(warmth.doubt(now));
  CHECK_FALSE(warmth.doubt(now));
  warmth.onHeartbeat(Duration::zero(), now);
  CHECK(warmth.isCold(now + milliseconds(2'999)));
  CHECK_FALSE(warmth.isCold(now + seconds(3)));
}

TEST_CASE_METHOD(WarmthFixture, "the target's answer ends a doubt either way") {
  warmth.doubt(now);
  warmth.onAnswered(Duration::zero(), now);
  CHECK_FALSE(warmth.isCold(now));
  warmth.doubt(now);
  warmth.onAnswered(seconds(1), now);
  CHECK(warmth.isCold(now));
  CHECK(warmth.coldUntil() == now + milliseconds(1'020));
}

TEST_CASE_METHOD(WarmthFixture, "an answer that does not say leaves the doubt as it is") {
  warmth.doubt(now);
  warmth.onAnswered(std::nullopt, now);
  CHECK(warmth.isCold(now + milliseconds(2'999)));
}

TEST_CASE_METHOD(WarmthFixture, "a doubted target is asked at once, and again while no answer comes") {
  CHECK_FALSE(warmth.takeQuestion(now));
  warmth.doubt(now);
  CHECK(warmth.takeQuestion(now));
  CHECK_FALSE(warmth.takeQuestion(now + milliseconds(100)));
  // The answer does not say.
  warmth.onAnswered(std::nullopt, now + milliseconds(100));
  CHECK_FALSE(warmth.takeQuestion(now + milliseconds(400)));
  CHECK(warmth.takeQuestion(now + milliseconds(500)));
  // A new doubt wants an answer of its own.
  warmth.onAnswered(Duration::zero(), now + milliseconds(510));
  warmth.doubt(now + milliseconds(520));
  CHECK(warmth.takeQuestion(now + milliseconds(520)));
}

TEST_CASE_METHOD(WarmthFixture, "another instance is as cold as its first word says") {
  warmth.onHeartbeat(seconds(3), now);
  warmth.onNewInstance(seconds(1), now);
  CHECK(warmth.coldUntil() == now + milliseconds(1'020));
}

TEST_CASE("without a bound for cold targets nothing is doubted or asked") {
  TargetWarmth warmth;
  const TimePoint now{seconds(100)};
  CHECK_FALSE(warmth.doubt(now));
  CHECK_FALSE(warmth.takeQuestion(now));
  warmth.onHeartbeat(seconds(3), now);
  CHECK_FALSE(warmth.isCold(now));
}

TEST_CASE_METHOD(WarmthFixture, "the answer to a question that was asked before a doubt does not end it") {
  warmth.doubt(now);
  REQUIRE(warmth.takeQuestion(now));
  warmth.doubt(now + milliseconds(100));
  warmth.onAnswered(Duration::zero(), now + milliseconds(200));
  CHECK(warmth.isCold(now + milliseconds(200)));
  // It is asked once more.
  CHECK(warmth.takeQuestion(now + milliseconds(500)));
  warmth.onAnswered(Duration::zero(), now + milliseconds(510));
  CHECK_FALSE(warmth.isCold(now + milliseconds(510)));
}

TEST_CASE_METHOD(
    WarmthFixture,
    "an answer that was asked for before the target said that it is cold does not make it warm") {
  warmth.doubt(now);
  REQUIRE(warmth.takeQuestion(now));
  warmth.onHeartbeat(seconds(3), now + milliseconds(10));
  warmth.onAnswered(Duration::zero(), now + milliseconds(20));
  CHECK(warmth.isCold(now + milliseconds(20)));
}

TEST_CASE_METHOD(WarmthFixture, "a silent target is asked again after a while, one question at a time") {
  warmth.doubt(now);
  REQUIRE(warmth.takeQuestion(now));
  CHECK_FALSE(warmth.takeQuestion(now + milliseconds(1'900)));
  CHECK(warmth.takeQuestion(now + milliseconds(2'000)));
}

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
  CHECK_FALSE(warmth.isCold(now + seconds(2)));
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
  CHECK(warmth.coldUntil() == now + seconds(1));
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
  CHECK(warmth.takeQuestion(now + milliseconds(500)));
  // A new doubt wants an answer of its own.
  warmth.onAnswered(Duration::zero(), now + milliseconds(510));
  warmth.doubt(now + milliseconds(520));
  CHECK(warmth.takeQuestion(now + milliseconds(520)));
}

TEST_CASE_METHOD(WarmthFixture, "another instance is as cold as its first word says") {
  warmth.onHeartbeat(seconds(3), now);
  warmth.onNewInstance(seconds(1), now);
  CHECK(warmth.coldUntil() == now + seconds(1));
}

TEST_CASE("without a bound for cold targets nothing is doubted or asked") {
  TargetWarmth warmth;
  const TimePoint now{seconds(100)};
  CHECK_FALSE(warmth.doubt(now));
  CHECK_FALSE(warmth.takeQuestion(now));
  warmth.onHeartbeat(seconds(3), now);
  CHECK_FALSE(warmth.isCold(now));
}

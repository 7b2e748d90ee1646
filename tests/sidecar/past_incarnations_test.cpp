// Guards against unbounded memory for past incarnations in a sidecar that runs for a long time.
//
// A target in a crash loop creates a new incarnation with each restart, and a client that sends
// deregistrations with made-up ids creates one with each message. A sidecar once kept all of them for its
// lifetime, which is a slow memory leak.
#include <catch2/catch.hpp>

#include "sidecar/target_state.h"
#include "tests/sidecar/sidecar_fixture.h"

namespace cometstand::sidecar::test {
namespace {

constexpr std::uint64_t kRestarts = 10'000;

Heartbeat makeHeartbeat(std::uint64_t born_ms) {
  auto heartbeat = SidecarFixture::makeHeartbeat("a", 1);
  heartbeat.incarnation.born_ms = born_ms;
  return heartbeat;
}

}  // namespace

TEST_CASE("the number of remembered incarnations stays bounded when a target restarts ten thousand times",
          "[incarnation]") {
  TargetState target;
  const TimePoint now{std::chrono::seconds(100)};
  for (std::uint64_t born = 1; born <= kRestarts; ++born)
    REQUIRE(target.onHeartbeat(makeHeartbeat(born), now));
  CHECK(target.pastIncarnationCount() <= PastIncarnations::kMaxIncarnations);
  // Late heartbeats of the remembered incarnations are still ignored.
  for (std::uint64_t born = kRestarts - PastIncarnations::kMaxIncarnations; born < kRestarts; ++born)
    CHECK_FALSE(target.onHeartbeat(makeHeartbeat(born), now));
  CHECK(target.incarnation().born_ms == kRestarts);
}

TEST_CASE("the number of remembered incarnations stays bounded when deregistrations carry made-up ids",
          "[incarnation]") {
  TargetState target;
  const TimePoint now{std::chrono::seconds(100)};
  target.onHeartbeat(makeHeartbeat(1), now);
  for (std::uint64_t number = 1; number <= kRestarts; ++number)
    target.onDeregistered({"made-up-" + std::to_string(number), 0}, now);
  CHECK(target.pastIncarnationCount() <= PastIncarnations::kMaxIncarnations);
  CHECK(target.condition() == TargetCondition::Ready);
}

}  // namespace cometstand::sidecar::test

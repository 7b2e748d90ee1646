// Incarnations of a target that are over, in a sidecar that runs for long.
//
// What happens: a target that crashes and starts again all day makes a new incarnation each time, and a
// writer that sends farewells under made-up ids makes one with each. A sidecar remembered every one of them
// for as long as it ran, a slow leak beside hundreds of targets. Found by reading.
#include <catch2/catch.hpp>

#include "sidecar/target_state.h"
#include "tests/sidecar/sidecar_fixture.h"

namespace cometstand::sidecar::test {
namespace {

constexpr std::uint64_t kRestarts = 10'000;

Heartbeat beatOf(std::uint64_t born_ms) {
  auto beat = SidecarFixture::makeBeat("a", 1);
  beat.incarnation.born_ms = born_ms;
  return beat;
}

}  // namespace

TEST_CASE(
    "a target that starts again ten thousand times takes no more memory than one that did so a few times",
    "[incarnation]") {
  TargetState target;
  const TimePoint now{std::chrono::seconds(100)};
  for (std::uint64_t born = 1; born <= kRestarts; ++born) REQUIRE(target.onHeartbeat(beatOf(born), now));
  CHECK(target.pastIncarnations() <= PastIncarnations::kMost);
  // Late words of the newest past ones still change nothing.
  for (std::uint64_t born = kRestarts - PastIncarnations::kMost; born < kRestarts; ++born)
    CHECK_FALSE(target.onHeartbeat(beatOf(born), now));
  CHECK(target.incarnation().born_ms == kRestarts);
}

TEST_CASE("farewells under made-up ids take no more memory than a bounded number of them", "[incarnation]") {
  TargetState target;
  const TimePoint now{std::chrono::seconds(100)};
  target.onHeartbeat(beatOf(1), now);
  for (std::uint64_t number = 1; number <= kRestarts; ++number)
    target.onDeregistered({"made-up-" + std::to_string(number), 0}, now);
  CHECK(target.pastIncarnations() <= PastIncarnations::kMost);
  CHECK(target.condition() == TargetCondition::Ready);
}

}  // namespace cometstand::sidecar::test

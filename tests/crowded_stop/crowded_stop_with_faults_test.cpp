// Planned stops of most sidecars at the same time behind a full link, while something else fails.
//
// A gate sends what must be there by a certain time in an order, with little unconfirmed, so that an answer
// waits for those before it and not for all. What if a confirmation never comes, or comes late? Askers that
// are cut off, links that are reset, and a gate that stands still for a second or stops itself must not hold
// up the others.
#include "planned_stop/full_link.h"

namespace cometstand::sidecar::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kAskers = 30;
constexpr std::size_t kStops = 20;
constexpr double kOverload = 3;
constexpr Duration kBefore = seconds(6);
constexpr Duration kBetweenStops = milliseconds(125);
/// Longer than a stop may take.
constexpr Duration kStopTime = seconds(7);

/// Stops kStops sidecars in turn. @param between called after each stop, with its number.
template <typename Between>
void stopMost(FullLink& mesh, const Between& between) {
  mesh.runFor(kBefore);
  for (std::size_t asker = 0; asker < kStops; ++asker) {
    mesh.stopAsker(asker);
    mesh.runFor(kBetweenStops);
    between(asker);
  }
  mesh.runFor(kStopTime);
}

void checkDelivered(const FullLink& mesh, std::size_t asker) {
  const auto& account = mesh.account(asker);
  INFO("asker " << asker << ": sent " << account.sent << ", answered " << account.answered << ", refused "
                << account.refused << ", failed " << account.failed << ", cut " << account.cut);
  REQUIRE(mesh.askerHasStopped(asker));
  CHECK(mesh.open(asker) == 0);
  CHECK(account.cut == 0);
  CHECK(account.failed == 0);
  CHECK(account.refused_though_run == 0);
}

void cutAskers(std::uint64_t seed) {
  constexpr std::size_t kCut = 6;
  INFO("seed " << seed);
  FullLink mesh(seed, kAskers, kOverload, FullLink::kConnectionWindow);
  stopMost(mesh, [&](std::size_t stopped) {
    if (stopped + 1 != kStops / 2) return;
    for (std::size_t asker = 0; asker < kCut; ++asker) mesh.cutAsker(asker);
  });
  for (std::size_t asker = kCut; asker < kStops; ++asker) checkDelivered(mesh, asker);
}

void pauseGate(std::uint64_t seed) {
  INFO("seed " << seed);
  FullLink mesh(seed, kAskers, kOverload, FullLink::kConnectionWindow);
  stopMost(mesh, [&](std::size_t stopped) {
    if (stopped + 1 == kStops / 2) mesh.pauseGate(seconds(1));
  });
  for (std::size_t asker = 0; asker < kStops; ++asker) checkDelivered(mesh, asker);
}

void stopGateToo(std::uint64_t seed) {
  INFO("seed " << seed);
  FullLink mesh(seed, kAskers, kOverload, FullLink::kConnectionWindow);
  stopMost(mesh, [&](std::size_t stopped) {
    if (stopped + 1 == kStops / 2) mesh.stopGate();
  });
  REQUIRE(mesh.gateHasStopped());
  CHECK(mesh.gateStopTime() <= SidecarOptions().stopLimit());
  for (std::size_t asker = 0; asker < kStops; ++asker) checkDelivered(mesh, asker);
}

void resetLinks(std::uint64_t seed) {
  constexpr std::size_t kReset = 4;
  INFO("seed " << seed);
  FullLink mesh(seed, kAskers, kOverload, FullLink::kConnectionWindow);
  stopMost(mesh, [&](std::size_t stopped) {
    if (stopped % 3 != 0) return;
    for (std::size_t asker = 0; asker < kReset; ++asker) mesh.resetLink(asker);
  });
  // What a reset cut may have run, so that its caller is told of a failure.
  for (std::size_t asker = 0; asker < kReset; ++asker) CHECK(mesh.open(asker) == 0);
  for (std::size_t asker = kReset; asker < kStops; ++asker) checkDelivered(mesh, asker);
}

}  // namespace

TEST_CASE("askers that are cut off in their stops do not hold up the answers of others", "[stop]") {
  cutAskers(GENERATE(range<std::uint64_t>(1, 6)));
}

TEST_CASE("a gate that stands still for a second delivers to those that stop all the same", "[stop]") {
  pauseGate(GENERATE(range<std::uint64_t>(1, 6)));
}

TEST_CASE("a gate that stops beside most of its askers has sent all of its answers by then", "[stop]") {
  stopGateToo(GENERATE(range<std::uint64_t>(1, 6)));
}

TEST_CASE("links that are reset in stops hold up no answer of others", "[stop]") {
  resetLinks(GENERATE(range<std::uint64_t>(1, 6)));
}

TEST_CASE("the same over many seeds", "[.][hunt]") {
  const auto seed = GENERATE(range<std::uint64_t>(1, 61));
  cutAskers(seed);
  pauseGate(seed);
  stopGateToo(seed);
  resetLinks(seed);
}

}  // namespace cometstand::sidecar::test

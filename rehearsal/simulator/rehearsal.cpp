#include "rehearsal/simulator/rehearsal.h"

namespace cometstand::simulator {
namespace {

using std::chrono::seconds;

constexpr Duration kSetupLimit = seconds(40);
constexpr Duration kWarmUp = seconds(3);
/// Faults whose end depends on commands or drains may outlast the window.
constexpr Duration kHealLimit = seconds(120);
/// Commands and resends in work at the end.
constexpr Duration kDrainLimit = seconds(30);

}  // namespace

Rehearsal::Rehearsal(const Deployment& deployment, std::uint64_t seed)
    : fleet_(deployment, seed), setup_(fleet_), callers_(fleet_), operators_(fleet_), injector_(fleet_) {}

void Rehearsal::advance(Duration time) {
  const TimePoint end = fleet_.queue().now() + time;
  while (fleet_.queue().now() < end) {
    fleet_.queue().runUntil(std::min(end, fleet_.queue().now() + kStep));
    fleet_.checkInvariants();
  }
}

bool Rehearsal::setUp() {
  fleet_.start();
  setup_.start();
  const bool done = advanceUntil(kSetupLimit, [this] { return setup_.done(); });
  const bool in_force =
      done && advanceUntil(kSetupLimit, [this] { return fleet_.everyProxyAt(setup_.version()); });
  if (!in_force) {
    checkers().log.add("setup", fleet_.queue().now(),
                       fmt::format("the mesh was not set up: {}", setup_.refusal()));
    return false;
  }
  checkers().convergence.beginMeasuring();
  callers_.start();
  operators_.start();
  advance(kWarmUp);
  return true;
}

void Rehearsal::heal() {
  if (advanceUntil(kHealLimit, [this] { return injector_.active() == 0; })) return;
  checkers().log.add("recovery", fleet_.queue().now(), "a repair or planned stop never ended");
}

void Rehearsal::beQuiet(Duration time) {
  checkConverged();
  callers_.expectCompletion();
  operators_.expectCompletion();
  advance(time);
}

void Rehearsal::finish() {
  callers_.stop();
  operators_.stop();
  advanceUntil(kDrainLimit, [this] { return callers_.inWork() == 0 && operators_.inWork() == 0; });
  advance(kInForceLimit);
  checkConverged();
  checkers().finish();
}

void Rehearsal::checkConverged() {
  const TimePoint now = fleet_.queue().now();
  checkers().convergence.checkConverged(now - kInForceLimit, now);
}

}  // namespace cometstand::simulator

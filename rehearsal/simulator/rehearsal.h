#pragma once

#include <algorithm>

#include "rehearsal/simulator/caller_workload.h"
#include "rehearsal/simulator/faults.h"
#include "rehearsal/simulator/fleet.h"
#include "rehearsal/simulator/mesh_setup.h"
#include "rehearsal/simulator/operator_workload.h"

namespace cometstand::simulator {

/// Without faults an accepted version is in force everywhere within this time.
inline constexpr Duration kInForceLimit = std::chrono::seconds(3);

/// A fleet with its callers, operators and faults, from the first start of the mesh on.
class Rehearsal {
 public:
  Rehearsal(const Deployment& deployment, std::uint64_t seed);

  /// Starts the fleet, puts the configuration in, and lets callers and operators begin.
  /// @return false if that failed, which is a violation.
  bool setUp();

  /// Lets simulated time pass. Costly invariants are looked at in between.
  void advance(Duration time);

  /// @return true if the condition came about within the limit.
  template <typename Condition>
  bool advanceUntil(Duration limit, Condition condition) {
    const TimePoint end = fleet_.queue().now() + limit;
    while (!condition() && fleet_.queue().now() < end) advance(kStep);
    return condition();
  }

  /// Waits until every fault has healed.
  void heal();
  /// No fault is left: what was accepted must be in force, everything must complete.
  void beQuiet(Duration time);
  /// Ends callers and operators, and lets all checks judge.
  void finish();
  /// Complains unless what was accepted kInForceLimit ago is in force everywhere.
  void checkConverged();

  Fleet& fleet() { return fleet_; }
  checkers::CheckerSet& checkers() { return fleet_.checkers(); }
  MeshSetup& setup() { return setup_; }
  CallerWorkload& callers() { return callers_; }
  OperatorWorkload& operators() { return operators_; }
  FaultInjector& injector() { return injector_; }

 private:
  static constexpr Duration kStep = std::chrono::milliseconds(250);

  Fleet fleet_;
  MeshSetup setup_;
  CallerWorkload callers_;
  OperatorWorkload operators_;
  FaultInjector injector_;
};

}  // namespace cometstand::simulator

#pragma once

#include <string>
#include <vector>

#include "rehearsal/fleet/fleet.h"
#include "rehearsal/fleet/rehearsal_report.h"

namespace cometstand::rehearsal {

/// The demonstration: changes under load, a killed leader, a planned stop, racing operators.
class DemoScenario {
 public:
  /// @param rate arrivals a second over the whole fleet.
  DemoScenario(Fleet& fleet, RehearsalReport& report, double rate);

  /// Runs every step and notes every outcome.
  /// @throw Error(Timeout) if a condition does not come true.
  void run();

 private:
  void changeUnderLoad();
  void raceOperators();
  void killLeader();
  void stopProxy();
  void checkWholeRun();
  void stopEverything();

  /// Adds a route under load and notes whether every proxy serves it.
  void changeAndCheck(const std::string& route_name);
  std::vector<CallRecord> finish(Load& load);

  Fleet& fleet_;
  RehearsalReport& report_;
  double rate_;
  std::vector<CallRecord> all_records_;
};

}  // namespace cometstand::rehearsal

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "rehearsal/checkers/convergence_checker.h"
#include "rehearsal/checkers/violation.h"
#include "rehearsal/simulator/deployment.h"
#include "rehearsal/simulator/faults.h"

namespace cometstand::simulator {

/// What to simulate.
struct RunOptions {
  Deployment deployment;
  std::uint64_t seed = 1;
  /// Kinds that may strike; none for a run without faults.
  std::vector<FaultKind> faults;
  /// Time in which faults strike and heal.
  Duration fault_window = std::chrono::seconds(45);
  /// After the last fault healed, everything must be in force everywhere within this time.
  Duration settle_limit = std::chrono::seconds(15);
  /// After that, everything must complete for so long.
  Duration quiet_time = std::chrono::seconds(5);
};

/// What came of one seed.
struct RunReport {
  std::uint64_t seed = 0;
  std::uint64_t versions_accepted = 0;
  std::map<FaultKind, unsigned> faults;
  std::vector<Fault> plan;
  std::uint64_t completed = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  std::uint64_t unanswered = 0;
  std::vector<checkers::Violation> violations;
  std::size_t violation_count = 0;
  checkers::ConvergenceTimes convergence;
  std::vector<std::uint64_t> control_bytes;
  std::uint64_t events = 0;
  std::uint64_t digest = 0;
};

/// Simulates one seed from the first start of a mesh to the end. Shares nothing with other runs: any number
/// may run in threads of their own.
RunReport runSeed(const RunOptions& options);

/// @return the report as one line of JSON, without a line break.
std::string toJsonLine(const RunReport& report);

}  // namespace cometstand::simulator

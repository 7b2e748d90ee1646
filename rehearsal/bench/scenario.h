#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "rehearsal/bench/deployment.h"

namespace cometstand::rehearsal {

struct ScenarioOptions {
  std::uint64_t seed = 1;
  /// Time of the arrivals in each part of a scenario.
  Duration duration = std::chrono::seconds(5);
};

struct ScenarioResult {
  /// One line of the report.
  boost::json::object report;
  /// Requests that may not be repeated and ran twice, ran although "not run" was said, or got a wrong answer.
  std::uint64_t violations = 0;
};

/// @return the names of all scenarios.
std::vector<std::string> scenarioNames();

/// Runs one scenario.
/// @throw Error(Invalid) if no scenario has the name.
ScenarioResult runScenario(const std::string& name, const Deployment& deployment,
                           const ScenarioOptions& options);

}  // namespace cometstand::rehearsal

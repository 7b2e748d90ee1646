// Whole simulated fleets: the product's own cores under faults by seed.
#include <catch2/catch.hpp>

#include "base/event_log.h"
#include "rehearsal/simulator/run.h"

namespace {

using namespace cometstand;
using namespace cometstand::simulator;

RunOptions optionsFor(const char* deployment, std::uint64_t seed) {
  setLogLevel(LogLevel::Error);
  RunOptions options;
  options.deployment = deploymentNamed(deployment);
  options.seed = seed;
  return options;
}

}  // namespace

TEST_CASE("without faults every request completes and every change is in force within seconds") {
  const auto report = runSeed(optionsFor("krakow", 1));
  INFO(toJsonLine(report));
  CHECK(report.violation_count == 0);
  CHECK(report.completed > 1000);
  CHECK(report.not_run + report.unknown + report.unanswered == 0);
  CHECK(report.versions_accepted > 100);
  CHECK(report.convergence.max < std::chrono::seconds(3));
}

TEST_CASE("one seed gives one run, another seed another one") {
  auto options = optionsFor("krakow", 7);
  options.faults = allFaults();
  options.fault_window = std::chrono::seconds(20);
  const auto first = runSeed(options);
  const auto second = runSeed(options);
  CHECK(first.digest == second.digest);
  CHECK(toJsonLine(first) == toJsonLine(second));
  options.seed = 8;
  CHECK(runSeed(options).digest != first.digest);
}

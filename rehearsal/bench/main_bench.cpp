// cometstand-bench: measures the proxy's data path in one process, between caller and back-end stand-ins.
#include <fmt/format.h>

#include <boost/algorithm/string/join.hpp>
#include <boost/json/serialize.hpp>
#include <exception>
#include <string>
#include <vector>

#include "base/event_log.h"
#include "rehearsal/bench/scenario.h"
#include "rehearsal/standin/program_options.h"

namespace {

using namespace cometstand;

struct BenchOptions {
  rehearsal::ScenarioOptions scenario;
  std::string deployment;
  std::vector<std::string> names;
};

BenchOptions parseCommandLine(int argc, char** argv) {
  TCLAP::CmdLine line("Measures the proxy's data path; prints one JSON line for each scenario.", ' ',
                      rehearsal::kKitVersion);
  const auto all = rehearsal::scenarioNames();
  const std::string help = "Scenario: " + boost::algorithm::join(all, ", ") + "; all if not given";
  TCLAP::MultiArg<std::string> names("", "scenario", help, false, "name", line);
  rehearsal::Option<std::string> deployment(line, "deployment", "krakow or astana", "krakow", "name");
  rehearsal::Option<double> duration(line, "duration-ms", "Time of the arrivals of each part", 5000, "ms");
  rehearsal::Option<std::uint64_t> seed(line, "seed", "Seed of arrivals, service times and choices", 1,
                                        "number");
  line.parse(argc, argv);
  BenchOptions options;
  options.names = names.getValue().empty() ? all : names.getValue();
  options.deployment = *deployment;
  options.scenario.seed = *seed;
  options.scenario.duration = rehearsal::fromMilliseconds(*duration);
  return options;
}

/// @return violations over all scenarios.
std::uint64_t run(const BenchOptions& options) {
  const auto deployment = rehearsal::deploymentByName(options.deployment);
  std::uint64_t violations = 0;
  for (const auto& name : options.names) {
    const auto result = rehearsal::runScenario(name, deployment, options.scenario);
    violations += result.violations;
    fmt::print("{}\n", boost::json::serialize(result.report));
    std::fflush(stdout);
  }
  return violations;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    setLogLevel(LogLevel::Error);
    return run(parseCommandLine(argc, argv)) == 0 ? 0 : 1;
  } catch (const std::exception& error) {
    fmt::print(stderr, "cometstand-bench: {}\n", error.what());
    return 2;
  }
}

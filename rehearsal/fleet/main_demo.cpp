// cometstand-demo: runs a whole fleet of one deployment on this machine and shows what it promises.
#include <fmt/format.h>

#include <filesystem>

#include "base/error.h"
#include "base/event_log.h"
#include "rehearsal/fleet/demo_scenario.h"
#include "rehearsal/fleet/fleet.h"
#include "rehearsal/standin/program_options.h"

namespace {

using namespace cometstand;
using rehearsal::Option;

struct DemoOptions {
  rehearsal::FleetOptions fleet;
  double rate = 0;
};

DemoOptions parseCommandLine(int argc, char** argv) {
  TCLAP::CmdLine line("Runs a whole fleet on loopback: changes under load, a killed leader, a planned stop.",
                      ' ', rehearsal::kKitVersion);
  Option<std::string> deployment(line, "deployment", "krakow or astana", "krakow", "name");
  Option<std::string> folder(line, "folder", "Where settings, logs and reports go; emptied first", "",
                             "path");
  Option<double> rate(line, "rate", "Requests a second", 120, "per second");
  line.parse(argc, argv);
  DemoOptions options;
  options.fleet.deployment = rehearsal::deploymentByName(*deployment);
  options.fleet.programs = rehearsal::ownProgramFolder();
  options.fleet.folder = (*folder).empty() ? options.fleet.programs.parent_path() / "demo" / *deployment
                                           : std::filesystem::path(*folder);
  options.rate = *rate;
  return options;
}

bool runDemo(const DemoOptions& options) {
  rehearsal::RehearsalReport report;
  report.step(fmt::format("a fleet of deployment {} in {}", options.fleet.deployment.name,
                          options.fleet.folder.string()));
  try {
    rehearsal::Fleet fleet(options.fleet);
    fleet.start();
    report.step("the first configuration is in force on every proxy");
    rehearsal::DemoScenario(fleet, report, options.rate).run();
  } catch (const std::exception& error) {
    report.expect(false, error.what());
  }
  report.finish();
  return report.allHeld();
}

}  // namespace

int main(int argc, char** argv) {
  try {
    setLogLevel(LogLevel::Warning);
    return runDemo(parseCommandLine(argc, argv)) ? 0 : 1;
  } catch (const std::exception& error) {
    fmt::print(stderr, "cometstand-demo: {}\n", error.what());
    return 2;
  }
}

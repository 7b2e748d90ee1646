// cometstand-sweep: convergence time and control bytes of a simulated fleet over relay settings.
#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include "base/error.h"
#include "base/event_log.h"
#include "rehearsal/sweep/sweep.h"

namespace {

using namespace cometstand;

Duration fromMilliseconds(unsigned value) { return std::chrono::milliseconds(value); }

/// Prints one line for each pair of a batch window and a beat interval.
void runAll(int argc, char** argv) {
  TCLAP::CmdLine line("Measures convergence time and control bytes over relay settings, in simulation.", ' ',
                      "0.1.0");
  TCLAP::ValueArg<std::string> deployment("", "deployment", "krakow, astana or scale", false, "krakow",
                                          "NAME", line);
  TCLAP::MultiArg<unsigned> windows("", "batch-window-ms", "relay.batch_window in ms; may be repeated", true,
                                    "MS", line);
  TCLAP::MultiArg<unsigned> beats("", "beat-interval-ms", "relay.beat_interval in ms; may be repeated", false,
                                  "MS", line);
  TCLAP::ValueArg<unsigned> proxies("", "proxies", "Proxies over all zones", false, 200, "N", line);
  TCLAP::ValueArg<double> changes("", "changes-per-second", "Mean of accepted changes a second", false, 1,
                                  "RATE", line);
  TCLAP::ValueArg<unsigned> kills("", "leader-kill-interval-ms", "How often the store's leader dies; 0 never",
                                  false, 0, "MS", line);
  TCLAP::ValueArg<unsigned> churn("", "endpoint-churn-interval-ms", "How often a back end goes; 0 never",
                                  false, 0, "MS", line);
  TCLAP::ValueArg<unsigned> time("", "seconds", "Simulated seconds that are measured", false, 60, "N", line);
  TCLAP::ValueArg<std::uint64_t> seed("", "seed", "Seed of each run", false, 1, "N", line);
  line.parse(argc, argv);

  sweep::Point point;
  point.deployment = simulator::deploymentNamed(deployment.getValue());
  point.proxies = proxies.getValue();
  point.changes_per_second = changes.getValue();
  point.leader_kill_interval = fromMilliseconds(kills.getValue());
  point.endpoint_churn_interval = fromMilliseconds(churn.getValue());
  point.measured_time = std::chrono::seconds(time.getValue());
  point.seed = seed.getValue();
  auto intervals = beats.getValue();
  if (intervals.empty()) intervals.push_back(1000);
  for (const unsigned window : windows.getValue()) {
    for (const unsigned interval : intervals) {
      point.deployment.batch_window = fromMilliseconds(window);
      point.deployment.beat_interval = fromMilliseconds(interval);
      fmt::print("{}\n", sweep::toJsonLine(point, sweep::runPoint(point)));
      std::fflush(stdout);
    }
  }
}

}  // namespace

int main(int argc, char** argv) {
  setLogLevel(LogLevel::Error);
  try {
    runAll(argc, argv);
    return 0;
  } catch (const TCLAP::ArgException& error) {
    fmt::print(stderr, "{}; see --help\n", error.error());
  } catch (const Error& error) {
    fmt::print(stderr, "{}\n", error.what());
  }
  return 2;
}

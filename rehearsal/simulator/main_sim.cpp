// cometstand-sim: a simulated fleet under random faults, by seed.
#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <atomic>
#include <fstream>
#include <mutex>
#include <sstream>
#include <thread>

#include "base/error.h"
#include "base/event_log.h"
#include "rehearsal/simulator/run.h"
#include "rehearsal/simulator/trace_writer.h"

namespace {

using namespace cometstand;

constexpr int kExitViolation = 1;
constexpr int kExitBadArguments = 2;

struct Arguments {
  simulator::RunOptions options;
  std::uint64_t first_seed = 1;
  std::uint64_t seeds = 1;
  std::string trace;
  unsigned jobs = 1;
};

std::vector<simulator::FaultKind> parseFaults(const std::string& list) {
  if (list == "all") return simulator::allFaults();
  std::vector<simulator::FaultKind> kinds;
  std::stringstream stream(list);
  for (std::string name; std::getline(stream, name, ',');) {
    if (name != "none") kinds.push_back(simulator::faultNamed(name));
  }
  return kinds;
}

Arguments parse(int argc, char** argv) {
  TCLAP::CmdLine line("Simulates a fleet under random faults and checks what must always hold.", ' ',
                      "0.1.0");
  TCLAP::ValueArg<std::string> deployment("", "deployment", "krakow, astana or scale", false, "krakow",
                                          "NAME", line);
  TCLAP::ValueArg<std::uint64_t> seed("", "seed", "The first seed", false, 1, "N", line);
  TCLAP::ValueArg<std::uint64_t> seeds("", "seeds", "How many seeds", false, 1, "K", line);
  TCLAP::ValueArg<std::string> faults("", "faults", "Kinds of faults, joined by commas; all or none", false,
                                      "all", "LIST", line);
  TCLAP::ValueArg<std::string> trace("", "trace", "Writes the faults of the last seed for cometstand-replay",
                                     false, "", "FILE", line);
  TCLAP::ValueArg<unsigned> jobs("", "jobs", "Seeds at once; 0 for one a processor", false, 0, "J", line);
  TCLAP::ValueArg<unsigned> verbose("", "log", "Log level: 0 debug to 3 errors", false, 3, "LEVEL", line);
  line.parse(argc, argv);
  setLogLevel(static_cast<LogLevel>(std::min(verbose.getValue(), 3U)));
  Arguments arguments;
  arguments.options.deployment = simulator::deploymentNamed(deployment.getValue());
  arguments.options.faults = parseFaults(faults.getValue());
  arguments.first_seed = seed.getValue();
  arguments.seeds = seeds.getValue();
  arguments.trace = trace.getValue();
  arguments.jobs = jobs.getValue() == 0 ? std::max(1U, std::thread::hardware_concurrency()) : jobs.getValue();
  return arguments;
}

/// Runs all seeds and prints their lines in the order in which they end. @return false if any has a
/// violation.
bool runAll(const Arguments& arguments) {
  std::atomic<std::uint64_t> next = 0;
  std::atomic<bool> failed = false;
  std::mutex output;
  const auto work = [&] {
    for (auto number = next++; number < arguments.seeds; number = next++) {
      auto options = arguments.options;
      options.seed = arguments.first_seed + number;
      const auto report = simulator::runSeed(options);
      const std::scoped_lock lock(output);
      fmt::print("{}\n", simulator::toJsonLine(report));
      std::fflush(stdout);
      if (report.violation_count != 0) {
        failed = true;
        fmt::print(stderr, "seed {}: {} violations\n", report.seed, report.violation_count);
      }
      const bool last = number + 1 == arguments.seeds;
      if (last && !arguments.trace.empty()) {
        std::ofstream(arguments.trace) << simulator::traceOf(options, report);
      }
    }
  };
  std::vector<std::thread> threads;
  const auto jobs = std::min<std::uint64_t>(arguments.jobs, arguments.seeds);
  for (std::uint64_t i = 0; i < jobs; ++i) threads.emplace_back(work);
  for (auto& thread : threads) thread.join();
  return !failed;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return runAll(parse(argc, argv)) ? 0 : kExitViolation;
  } catch (const Error& error) {
    fmt::print(stderr, "{}: {}\n", error.what(), error.remedy());
  } catch (const std::exception& error) {
    fmt::print(stderr, "{}\n", error.what());
  }
  return kExitBadArguments;
}

/// cometstand-relay-storm: simulates a zone's storm of reconnects and prints how it is served, as JSON.
#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <boost/json.hpp>
#include <exception>
#include <map>

#include "base/event_log.h"
#include "rehearsal/relay_cost/storm.h"

using namespace cometstand;
using namespace cometstand::rehearsal;

namespace {

const std::map<std::string, StormKind>& stormKinds() {
  static const std::map<std::string, StormKind> kinds{
      {"relay-restart", StormKind::RelayRestart},
      {"relay-restart-with-changes", StormKind::RelayRestartWithChanges},
      {"proxies-restart", StormKind::ProxiesRestart},
      {"proxies-without-disks", StormKind::ProxiesWithoutDisks}};
  return kinds;
}

boost::json::object toJson(const std::string& kind, const StormOptions& options, const StormReport& report) {
  return {{"storm", kind},
          {"proxies", options.size.proxies},
          {"relays", options.relays},
          {"seed", options.seed},
          {"half_s", report.half_s},
          {"p99_s", report.p99_s},
          {"all_s", report.all_s},
          {"peak_messages_100ms", report.peak_messages},
          {"peak_bytes_100ms", report.peak_bytes},
          {"hellos", report.hellos},
          {"refusals", report.refusals},
          {"deltas", report.deltas},
          {"snapshots", report.snapshots},
          {"bytes", report.bytes}};
}

void run(int argc, char** argv) {
  TCLAP::CmdLine command_line("Simulates a zone's storm of reconnects; prints JSON lines.", ' ', "0.1.0");
  TCLAP::MultiArg<std::string> kinds("", "storm",
                                     "relay-restart, relay-restart-with-changes, proxies-restart or "
                                     "proxies-without-disks (all)",
                                     false, "KIND", command_line);
  TCLAP::ValueArg<unsigned> proxies("", "proxies", "Number of proxies (640)", false, 640, "N", command_line);
  TCLAP::ValueArg<unsigned> relays("", "relays", "Relays of the zone (1)", false, 1, "N", command_line);
  TCLAP::ValueArg<std::uint64_t> seed("", "seed", "Seed (1)", false, 1, "N", command_line);
  command_line.parse(argc, argv);
  auto chosen = kinds.getValue();
  if (chosen.empty()) {
    for (const auto& [name, kind] : stormKinds()) chosen.push_back(name);
  }
  for (const auto& name : chosen) {
    StormOptions options;
    options.kind = stormKinds().at(name);
    options.size.proxies = proxies.getValue();
    options.relays = relays.getValue();
    options.seed = seed.getValue();
    fmt::print("{}\n", boost::json::serialize(toJson(name, options, Storm(options).run())));
  }
}

}  // namespace

int main(int argc, char** argv) {
  try {
    setLogLevel(LogLevel::Error);
    run(argc, argv);
    return 0;
  } catch (const std::exception& error) {
    fmt::print(stderr, "cometstand-relay-storm: {}\n", error.what());
    return 1;
  }
}

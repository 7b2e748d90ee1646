// cometstand-relay: one zone's fan-out of configuration and endpoint liveness.
#include <chrono>

#include "admin/program_host.h"
#include "relay/prober.h"
#include "relay/relay_core.h"
#include "relay/relay_pages.h"
#include "relay/relay_settings.h"
#include "runtime/process_runner.h"
#include "settings/program.h"

namespace {

using namespace cometstand;

constexpr settings::ProgramInfo kProgram{
    "cometstand-relay", "Follows the configuration store and serves the proxies of one zone."};

/// Joins the prober's results with the core.
relay::Prober::Handlers proberHandlers(relay::RelayCore& core, runtime::ProcessRunner& runner) {
  relay::Prober::Handlers handlers;
  handlers.targets = [&core] { return core.probeTargets(); };
  handlers.on_result = [&](const view::EndpointId& endpoint, const relay::ProbeResult& result) {
    core.onProbeResult(endpoint, result, SteadyClock::now());
    runner.flush();
  };
  handlers.on_machines = [&](const std::vector<relay::MachineState>& machines) {
    core.onMachineList(machines, SteadyClock::now());
    runner.flush();
  };
  return handlers;
}

std::uint64_t microsecondsSince1970() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

int runRelay(relay::RelaySettings& relay) {
  relay::completeRelayOptions(relay);
  relay.options.seed = systemSeed();
  relay.options.first_sequence = microsecondsSince1970();
  overload::MemoryBudget memory(relay.common.overload.clientBytes());
  relay::RelayCore core(relay.options);
  const relay::RelayPages pages(core);
  admin::ProgramHost host(std::string(kProgram.name), relay.common, core, pages, memory);
  relay::Prober prober(host.io(), relay.prober, proberHandlers(core, host.runner()));
  host.addStart([&prober] { prober.start(); });
  host.addStopStep([&prober](const std::function<void()>& done) {
    prober.stop();
    done();
  });
  return host.run();
}

}  // namespace

int main(int argc, char** argv) {
  relay::RelaySettings relay;
  settings::SettingsTable table;
  relay::declareRelaySettings(table, relay);
  return settings::runProgram(argc, argv, kProgram, table, [&relay] { return runRelay(relay); });
}

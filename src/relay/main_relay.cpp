// cometstand-relay: one zone's fan-out of configuration and endpoint liveness.
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <chrono>
#include <csignal>

#include "net/tls_context.h"
#include "relay/prober.h"
#include "relay/relay_core.h"
#include "relay/relay_settings.h"
#include "runtime/process_runner.h"
#include "settings/program.h"

namespace {

using namespace cometstand;

const settings::ProgramInfo kProgram{"cometstand-relay",
                                     "Follows the configuration store and serves the proxies of one zone."};

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
  settings::applyLogLevel(relay.common);
  relay::completeRelayOptions(relay);
  relay.options.seed = systemSeed();
  relay.options.first_sequence = microsecondsSince1970();
  std::unique_ptr<boost::asio::ssl::context> tls;
  if (relay.common.tls.enabled) {
    tls =
        net::makeTlsContext({relay.common.tls.certificate, relay.common.tls.key, relay.common.tls.authority});
  }
  boost::asio::io_context io(1);
  relay::RelayCore core(relay.options);
  runtime::ProcessRunner runner(io, core, {relay.common.listen, {}, tls.get()});
  relay::Prober prober(io, relay.prober, proberHandlers(core, runner));
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&](boost::system::error_code error, int) {
    if (error) return;
    prober.stop();
    runner.beginStop();
  });
  runner.start();
  prober.start();
  io.run();
  return settings::kExitSuccess;
}

}  // namespace

int main(int argc, char** argv) {
  relay::RelaySettings relay;
  settings::SettingsTable table;
  relay::declareRelaySettings(table, relay);
  return settings::runProgram(argc, argv, kProgram, table, [&relay] { return runRelay(relay); });
}

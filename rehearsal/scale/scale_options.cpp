#include "rehearsal/scale/scale_options.h"

#include <fmt/format.h>

#include <filesystem>

#include "base/error.h"
#include "rehearsal/standin/program_options.h"

namespace cometstand::rehearsal {

namespace {

void check(const ScaleOptions& options) {
  const auto& shape = options.shape;
  const bool is_empty = shape.proxies == 0 || shape.services == 0 || shape.zones == 0 || shape.tenants == 0 ||
                        options.proxies_per_process == 0 || options.targets_per_backend == 0;
  if (is_empty) {
    throw Error(ErrorKind::Invalid, "a count is 0",
                "give proxies, services, zones and tenants of at least 1");
  }
  if (options.relayCount() < shape.zones) {
    throw Error(ErrorKind::Invalid, "there are fewer relays than zones", "give at least one relay a zone");
  }
  if (options.targets_per_backend > shape.services) {
    throw Error(ErrorKind::Invalid, "targets of one service would share a back end",
                fmt::format("give at least {} services", options.targets_per_backend));
  }
  if (options.real_proxies >= shape.proxies) {
    throw Error(ErrorKind::Invalid, "no proxy is hollow", "give fewer real proxies than proxies");
  }
  const auto processes =
      options.stores + options.relayCount() + options.real_proxies + options.hollowProcesses();
  if (processes > kMaxProcesses) {
    throw Error(ErrorKind::Invalid, fmt::format("the run needs {} processes", processes),
                fmt::format("stay at {}: raise --proxies-per-process", kMaxProcesses));
  }
}

StoreMode storeMode(const std::string& text) {
  if (text == "real") return StoreMode::Real;
  if (text == "memory") return StoreMode::Memory;
  throw Error(ErrorKind::Invalid, "unknown store " + text, "use --store real or --store memory");
}

}  // namespace

ScaleOptions parseScaleOptions(int argc, const char* const* argv) {
  ScaleOptions options;
  TCLAP::CmdLine line("Runs a store, relays and hollow proxies and measures what they cost.", ' ',
                      kKitVersion);
  Option<std::size_t> proxies(line, "proxies", "Hollow proxies, one a target", 500, "number");
  Option<std::size_t> services(line, "services", "Services", 100, "number");
  Option<std::size_t> zones(line, "zones", "Zones", 4, "number");
  Option<std::size_t> tenants(line, "tenants", "Tenants", options.shape.tenants, "number");
  Option<std::size_t> per_node(line, "tenants-per-node", "Tenants that a node serves",
                               options.shape.tenants_per_node, "number");
  Option<std::string> store(line, "store", "real, or memory to leave the store out", "real", "mode");
  Option<std::size_t> stores(line, "stores", "Store replicas", options.stores, "number");
  Option<std::size_t> relays(line, "relays", "Relays; 0 for one a zone", options.relays, "number");
  Option<std::size_t> per_process(line, "proxies-per-process", "Hollow proxies that share a process",
                                  options.proxies_per_process, "number");
  Option<std::size_t> changes(line, "changes", "Changes", options.changes, "number");
  Option<double> interval(line, "change-interval-ms", "Pause between two changes", 500, "ms");
  Option<std::size_t> churn(line, "churn", "Back ends that start anew meanwhile", options.churn, "number");
  Option<std::size_t> sightings(line, "sightings", "Endpoints sighted as leaving meanwhile",
                                options.sightings, "number");
  Option<double> herd(line, "herd-restart", "Share of the proxies that die at once", options.herd_restart,
                      "0 to 1");
  Option<double> disk_loss(line, "herd-disk-loss", "Share of those that lose their disk",
                           options.herd_disk_loss, "0 to 1");
  Option<std::size_t> real(line, "real-proxies", "Proxies, of all, that are processes of the product",
                           options.real_proxies, "number");
  Option<std::size_t> claims(line, "claims", "Claims in flight; 0 for none", options.claims_in_flight,
                             "number");
  Option<double> claims_time(line, "claims-seconds", "How long claims are taken", 10, "s");
  Option<double> idle(line, "idle-seconds", "Time watched without changes", 10, "s");
  Option<double> batch(line, "batch-window-ms", "Batching window of the relays", 50, "ms");
  Option<double> beat(line, "beat-interval-ms", "Interval of the relays' beats", 1000, "ms");
  Option<double> probe(line, "probe-interval-ms", "Interval of the relays' probes", 5000, "ms");
  Option<double> limit(line, "phase-limit-seconds", "Longest time that one phase may take", 180, "s");
  Option<std::uint64_t> seed(line, "seed", "Seed of changes, restarts and pauses", 1, "number");
  Option<std::string> folder(line, "work-folder", "For settings, data and logs; kept", "", "folder");
  line.parse(argc, argv);

  options.shape = {*proxies, *services, *zones, *tenants, *per_node};
  options.store_mode = storeMode(*store);
  options.stores = options.store_mode == StoreMode::Memory ? 1 : *stores;
  options.relays = *relays;
  options.proxies_per_process = *per_process;
  options.changes = *changes;
  options.change_interval = fromMilliseconds(*interval);
  options.churn = *churn;
  options.sightings = *sightings;
  options.herd_restart = *herd;
  options.herd_disk_loss = *disk_loss;
  options.real_proxies = *real;
  options.claims_in_flight = *claims;
  options.claims_time = fromMilliseconds(*claims_time * 1000);
  options.idle = fromMilliseconds(*idle * 1000);
  options.batch_window = fromMilliseconds(*batch);
  options.beat_interval = fromMilliseconds(*beat);
  options.probe_interval = fromMilliseconds(*probe);
  options.phase_limit = fromMilliseconds(*limit * 1000);
  options.seed = *seed;
  options.work_folder = *folder;
  options.program_folder = std::filesystem::canonical("/proc/self/exe").parent_path();
  check(options);
  return options;
}

}  // namespace cometstand::rehearsal

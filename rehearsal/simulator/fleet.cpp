#include "rehearsal/simulator/fleet.h"

#include <fmt/format.h>

#include <algorithm>

#include "base/error.h"
#include "config/token.h"
#include "relay/relay_core.h"

namespace cometstand::simulator {
namespace {

constexpr std::uint16_t kControlPort = 7000;
constexpr std::uint16_t kHttpPort = 8000;
constexpr std::uint16_t kBackendPort = 9000;
/// Clocks run fast or slow by up to this share.
constexpr double kClockRateError = 0.002;
/// Machines keep the time of day to within this.
constexpr Duration kWallClockError = std::chrono::milliseconds(100);
constexpr int kClockSteps = 1000;
/// Share of seeds with drawn sizes.
constexpr double kRareSizes = 0.7;
constexpr std::size_t kKibibyte = 1024;

/// Each part of a run has seeds of its own, by run and machine.
std::uint64_t mixSeed(std::uint64_t seed, const std::string& name, std::uint64_t run) {
  std::uint64_t value = seed * 1'000'003 + run * 7919;
  for (const char each : name) value = value * 131 + static_cast<unsigned char>(each);
  return value;
}

Tuning drawTuning(RandomSource& random) {
  Tuning tuning;
  const relay::RelayOptions relay;
  tuning.relay_tombstones = relay.max_tombstones;
  if (random.chance(kRareSizes)) {
    tuning.consensus.segment_bytes = random.uniform(4, 64) * kKibibyte;
    tuning.consensus.snapshot_after_log_bytes = random.uniform(8, 256) * kKibibyte;
    tuning.consensus.entries_kept_after_snapshot = random.uniform(0, 50);
    tuning.consensus.max_entries_per_append = random.uniform(1, 20);
    tuning.consensus.max_appends_in_flight = random.uniform(1, 4);
    tuning.relay_tombstones = random.uniform(1, 20);
  }
  return tuning;
}

}  // namespace

std::vector<std::uint8_t> bootstrapSalt() { return {1, 2, 3, 4, 5, 6, 7, 8}; }

Fleet::Fleet(const Deployment& deployment, std::uint64_t seed)
    : deployment_(deployment),
      seed_(seed),
      random_(seed),
      network_(queue_, deployment.latency, mixSeed(seed, "network", 0)),
      machine_list_(queue_),
      checkers_(checkers::CheckLimits{}),
      tuning_(drawTuning(random_)) {
  addStores();
  addRelays();
  addProxies();
  addBackends();
}

runtime::Address Fleet::nextAddress() {
  constexpr unsigned kByte = 250;
  const unsigned number = next_address_++;
  return {fmt::format("10.0.{}.{}", number / kByte, number % kByte + 1), kControlPort};
}

Machine& Fleet::addMachine(const std::string& name, const std::string& role, const ZoneLayout& zone,
                           Process::CoreMaker maker, bool has_disk) {
  auto& machine = machines_[name];
  machine.name = name;
  machine.role = role;
  machine.zone = zone.name;
  machine.address = nextAddress();
  if (has_disk) machine.disk = std::make_unique<Disk>(queue_, mixSeed(seed_, name + "/disk", 0));
  const HostId host = network_.addHost(name, zone.name, zone.region, role);
  network_.setAddress(host, machine.address);
  machine.process = std::make_unique<Process>(queue_, network_, host, machine.disk.get(), std::move(maker));
  machine.process->setObserver(this);
  machine.process->setEndHandler([this, name](const std::string& reason) { onProcessEnded(name, reason); });
  const auto step = static_cast<double>(random_.uniform(0, 2 * kClockSteps)) / kClockSteps - 1;
  machine.process->setClockRate(1 + step * kClockRateError);
  return machine;
}

void Fleet::addStores() {
  std::vector<wire::ReplicaT> voters;
  for (const auto& zone : deployment_.zones) {
    if (!zone.has_store) continue;
    const auto name = fmt::format("store-{}", zone.name);
    const auto& machine = addMachine(
        name, "store", zone,
        [this, name](std::uint64_t run) {
          auto& options = store_options_.at(name);
          auto core = std::make_unique<store::StoreCore>(options, mixSeed(seed_, name, run));
          options.bootstrap = false;
          return core;
        },
        true);
    wire::ReplicaT replica;
    replica.id = next_replica_id_++;
    replica.name = name;
    replica.address = machine.address.host;
    replica.port = machine.address.port;
    replica.region = zone.region;
    voters.push_back(replica);
  }
  for (const auto& voter : voters) {
    store::StoreOptions options;
    options.self = voter;
    options.initial_voters = voters;
    options.bootstrap = true;
    options.consensus = tuning_.consensus;
    options.bootstrap_salt = bootstrapSalt();
    options.bootstrap_token_hash = config::hashToken(bootstrapSalt(), kBootstrapToken);
    store_options_[voter.name] = options;
  }
}

void Fleet::addRelays() {
  for (const auto& zone : deployment_.zones) {
    for (unsigned number = 1; number <= zone.relays; ++number) {
      const auto name = fmt::format("relay-{}-{}", zone.name, number);
      auto& machine = addMachine(
          name, "relay", zone,
          [this, name, zone](std::uint64_t run) {
            relay::RelayOptions options;
            options.name = name;
            options.zone = zone.name;
            options.region = zone.region;
            options.advertise = machines_.at(name).address;
            options.stores = storeAddresses();
            for (const auto& peer : names("relay")) options.peers.push_back(machines_.at(peer).address);
            options.batch_window = deployment_.batch_window;
            options.beat_interval = deployment_.beat_interval;
            options.max_tombstones = tuning_.relay_tombstones;
            // The machine's clock, which the others' do not agree with to the last.
            const auto clock = queue_.now() + random_.uniform(Duration::zero(), kWallClockError);
            options.first_sequence = static_cast<std::uint64_t>(clock.time_since_epoch().count());
            options.seed = mixSeed(seed_, name, run);
            return std::make_unique<relay::RelayCore>(options);
          },
          false);
      const HostId host = network_.addHost(name + "/prober", zone.name, zone.region, "client");
      probers_.push_back(
          std::make_unique<RelayProber>(queue_, network_, host, *machine.process, machine_list_));
    }
  }
}

void Fleet::addProxies() {
  for (const auto& zone : deployment_.zones) {
    for (unsigned number = 1; number <= zone.proxies; ++number) {
      const auto name = fmt::format("proxy-{}-{}", zone.name, number);
      const HostId http = network_.addHost(name + "/http", zone.name, zone.region, "http");
      auto address = nextAddress();
      address.port = kHttpPort;
      network_.setAddress(http, address);
      http_hosts_[name] = http;
      http_addresses_[name] = address;
      auto& machine = addMachine(
          name, "proxy", zone,
          [this, name, zone, http](std::uint64_t run) {
            ProxyNodeOptions options;
            options.control.node = name;
            options.control.zone = zone.name;
            for (const auto& relay : names("relay")) {
              const auto& target = machines_.at(relay);
              options.control.relays.push_back({target.address, target.zone});
            }
            options.control.incarnation = run;
            options.control.seed = mixSeed(seed_, name, run);
            options.data_path.balancer.zone = zone.name;
            options.data_path.claim_prefix = fmt::format("{}-{}", name, run);
            ViewObserver& observer = *this;
            return std::make_unique<ProxyNode>(options, *machines_.at(name).process, network_, http,
                                               observer);
          },
          true);
      machine.process->addCompanion(http);
      checkers_.convergence.addNode(name);
    }
  }
}

void Fleet::addBackends() {
  std::size_t next_zone = 0;
  for (const auto& service : deployment_.services) {
    for (unsigned number = 1; number <= service.targets; ++number) {
      const auto& zone = deployment_.zones[next_zone++ % deployment_.zones.size()];
      BackendMachine machine;
      machine.name = fmt::format("{}-{}", service.name, number);
      machine.service = service.name;
      machine.zone = zone.name;
      machine.address = nextAddress();
      machine.address.port = kBackendPort;
      const HostId host = network_.addHost(machine.name, zone.name, zone.region, "backend");
      network_.setAddress(host, machine.address);
      BackendObserver& observer = *this;
      machine.backend = std::make_unique<Backend>(queue_, network_, host, deployment_.slots,
                                                  mixSeed(seed_, machine.name, 0), observer);
      machine.backend->setBehavior(deployment_.backend);
      backends_.push_back(std::move(machine));
    }
  }
}

void Fleet::start() {
  for (auto& each : backends_) {
    each.backend->start();
    machine_list_.set(each.address, false);
  }
  for (const char* role : {"store", "relay", "proxy"}) {
    for (const auto& name : names(role)) machines_.at(name).process->start();
  }
  for (auto& prober : probers_) prober->start();
}

bool Fleet::everyProxyAt(std::uint64_t version) {
  const auto proxies = names("proxy");
  return std::all_of(proxies.begin(), proxies.end(), [&](const std::string& name) {
    const auto* node = dynamic_cast<const ProxyNode*>(machine(name).process->core());
    return node != nullptr && node->control().asOf() >= version;
  });
}

Machine& Fleet::machine(const std::string& name) {
  const auto found = machines_.find(name);
  if (found != machines_.end()) return found->second;
  throw Error(ErrorKind::NotFound, fmt::format("there is no machine \"{}\"", name),
              "name a store, relay or proxy of the deployment");
}

BackendMachine& Fleet::backend(const std::string& name) {
  for (auto& each : backends_) {
    if (each.name == name) return each;
  }
  throw Error(ErrorKind::NotFound, fmt::format("there is no back end \"{}\"", name),
              "name a target of the deployment, for example editor-desk-1");
}

std::vector<std::string> Fleet::names(const std::string& role, const std::string& zone) const {
  std::vector<std::string> found;
  for (const auto& [name, machine] : machines_) {
    if (machine.role == role && (zone.empty() || machine.zone == zone)) found.push_back(name);
  }
  return found;
}

std::vector<runtime::Address> Fleet::storeAddresses() const {
  std::vector<runtime::Address> addresses;
  for (const auto& name : names("store")) addresses.push_back(machines_.at(name).address);
  return addresses;
}

std::string Fleet::leader() {
  std::string found;
  consensus::Term newest = 0;
  for (const auto& name : names("store")) {
    auto& process = *machines_.at(name).process;
    const auto* core = dynamic_cast<const store::StoreCore*>(process.core());
    if (core == nullptr || process.frozen()) continue;
    const auto leadership = core->leadership();
    if (leadership.role != consensus::Role::Leader || leadership.term < newest) continue;
    found = name;
    newest = leadership.term;
  }
  return found;
}

OperatorClient& Fleet::addOperator(const std::string& name, const OperatorIdentity& identity) {
  auto& machine = addMachine(
      name, "operator", {},
      [this, name, identity](std::uint64_t run) {
        return std::make_unique<OperatorClient>(identity, storeAddresses(), mixSeed(seed_, name, run));
      },
      false);
  machine.process->start();
  return *dynamic_cast<OperatorClient*>(machine.process->core());
}

void Fleet::withOperator(const std::string& name, std::function<void(OperatorClient&, TimePoint)> event) {
  auto& process = *machine(name).process;
  process.execute([&process, event = std::move(event)](TimePoint now) {
    event(*dynamic_cast<OperatorClient*>(process.core()), now);
  });
}

void Fleet::killProcess(const std::string& name, bool power_loss) {
  machine(name).process->kill(power_loss);
  checkers_.readers.onEnded(name);
  if (machine(name).role == "proxy") checkers_.convergence.onDown(name);
}

void Fleet::replaceStoreDisk(const std::string& name) {
  auto& target = machine(name);
  killProcess(name, true);
  target.disk->lose();
  auto& options = store_options_.at(name);
  options.self.id = next_replica_id_++;
  options.self.name = fmt::format("{}-{}", name, options.self.id);
  options.bootstrap = false;
}

}  // namespace cometstand::simulator

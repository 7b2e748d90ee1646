#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "rehearsal/checkers/checker_set.h"
#include "rehearsal/simulator/backend.h"
#include "rehearsal/simulator/deployment.h"
#include "rehearsal/simulator/machine_list.h"
#include "rehearsal/simulator/operator_client.h"
#include "rehearsal/simulator/prober.h"
#include "rehearsal/simulator/process.h"
#include "rehearsal/simulator/proxy_node.h"
#include "store/options.h"
#include "store/store_core.h"

namespace cometstand::simulator {

/// One process with the machine it runs on.
struct Machine {
  std::string name;
  /// "store", "relay", "proxy" or "operator".
  std::string role;
  std::string zone;
  runtime::Address address;
  std::unique_ptr<Disk> disk;
  std::unique_ptr<Process> process;
};

/// A back end of the deployment.
struct BackendMachine {
  std::string name;
  std::string service;
  std::string zone;
  runtime::Address address;
  std::unique_ptr<Backend> backend;
};

/// Sizes that decide when rare paths are taken. Drawn by seed, so that a short run meets snapshots, pruned
/// tombstones and small windows as a long one would.
struct Tuning {
  consensus::ConsensusOptions consensus;
  std::size_t relay_tombstones = 0;
};

/// A whole simulated fleet, with the checkers that watch it. What happens in it follows from the deployment
/// and the seed alone. Single-threaded.
class Fleet : private MessageObserver, private ViewObserver, private BackendObserver {
 public:
  Fleet(const Deployment& deployment, std::uint64_t seed);

  /// Starts every process; callers and operators are not part of it.
  void start();

  const Deployment& deployment() const { return deployment_; }
  EventQueue& queue() { return queue_; }
  Network& network() { return network_; }
  MachineList& machineList() { return machine_list_; }
  checkers::CheckerSet& checkers() { return checkers_; }
  RandomSource& random() { return random_; }

  /// @throw Error(NotFound) if there is no machine of that name.
  Machine& machine(const std::string& name);
  BackendMachine& backend(const std::string& name);
  /// @return names of the machines of a role, of one zone if it is not empty.
  std::vector<std::string> names(const std::string& role, const std::string& zone = "") const;
  const std::vector<BackendMachine>& backends() const { return backends_; }
  std::vector<runtime::Address> storeAddresses() const;
  /// Where callers reach the proxy.
  const runtime::Address& httpAddress(const std::string& proxy) const { return http_addresses_.at(proxy); }
  HostId httpHost(const std::string& proxy) const { return http_hosts_.at(proxy); }
  /// @return the store replica that leads now; empty if there is none.
  std::string leader();
  /// @return true if every proxy runs and has the version in force.
  bool everyProxyAt(std::uint64_t version);

  /// Adds a client outside the zones.
  HostId addClient(const std::string& name) { return network_.addHost(name, "", "", "client"); }
  /// @return the client, which runs from now on.
  OperatorClient& addOperator(const std::string& name, const OperatorIdentity& identity);
  /// Runs the event on the operator's machine.
  void withOperator(const std::string& name, std::function<void(OperatorClient&, TimePoint)> event);

  /// The process dies.
  void killProcess(const std::string& name, bool power_loss);

  /// The replica's disk is lost; it starts anew under a new id, without a vote.
  void replaceStoreDisk(const std::string& name);
  std::uint64_t replicaId(const std::string& name) const { return store_options_.at(name).self.id; }

  /// Checks that hold at any moment but are too costly for every event.
  void checkInvariants();

 private:
  Machine& addMachine(const std::string& name, const std::string& role, const ZoneLayout& zone,
                      Process::CoreMaker maker, bool has_disk);
  runtime::Address nextAddress();
  void addStores();
  void addRelays();
  void addProxies();
  void addBackends();

  // Observers.
  void onSent(HostId from, HostId to, ConnectionId connection, const wire::EnvelopeT& message) override;
  void onDelivered(HostId, HostId, ConnectionId, const wire::EnvelopeT&) override {}
  void onViewInForce(const std::string& node, const view::View& view) override;
  void onAsOf(const std::string& node, const view::View& view, std::uint64_t as_of) override;
  void onWorkArrived(const std::string& backend, const std::string& from,
                     const proxy::CallerRequest& request) override;
  void onWorkBegun(const std::string& backend, const HttpRequest& request) override;
  void onProcessEnded(const std::string& name, const std::string& reason);

  Deployment deployment_;
  std::uint64_t seed_;
  RandomSource random_;
  EventQueue queue_;
  Network network_;
  MachineList machine_list_;
  checkers::CheckerSet checkers_;
  std::map<std::string, Machine> machines_;
  std::vector<BackendMachine> backends_;
  std::map<std::string, store::StoreOptions> store_options_;
  std::map<std::string, runtime::Address> http_addresses_;
  std::map<std::string, HostId> http_hosts_;
  std::vector<std::unique_ptr<RelayProber>> probers_;
  Tuning tuning_;
  std::uint64_t next_replica_id_ = 1;
  unsigned next_address_ = 1;
};

/// The credential with which a simulated mesh is set up.
inline constexpr std::string_view kBootstrapToken = "bootstrap-token";
std::vector<std::uint8_t> bootstrapSalt();

}  // namespace cometstand::simulator

#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "proxy/control_core.h"
#include "rehearsal/relay_cost/mesh_configuration.h"
#include "rehearsal/relay_cost/scripted_store.h"
#include "rehearsal/simulator/process.h"

namespace cometstand::rehearsal {

/// What brings all proxies of a zone back at once.
enum class StormKind : std::uint8_t {
  /// The relay's process is killed and starts again a second later.
  RelayRestart,
  /// As RelayRestart, while changes and deletions pass.
  RelayRestartWithChanges,
  /// All proxies restart at once, from their disks.
  ProxiesRestart,
  /// All proxies restart at once, each with an empty disk.
  ProxiesWithoutDisks,
};

/// Sizes of a storm.
struct StormOptions {
  StormKind kind = StormKind::RelayRestart;
  MeshSize size;
  /// Relays of the zone.
  unsigned relays = 1;
  /// Objects changed while the relay is down, half of them deleted.
  unsigned changes = 40;
  std::uint64_t seed = 1;
};

/// Outcome of a storm, in simulated time.
struct StormReport {
  /// From the event until half, 99 in 100 and all proxies are served again and are up to date.
  double half_s = 0;
  double p99_s = 0;
  double all_s = 0;
  /// Most messages that reached or left the relays within 100 ms.
  std::size_t peak_messages = 0;
  /// Most bytes sent between proxies and relays within 100 ms.
  std::size_t peak_bytes = 0;
  std::size_t hellos = 0;
  std::size_t refusals = 0;
  std::size_t deltas = 0;
  std::size_t snapshots = 0;
  /// Between proxies and relays, until all are served.
  std::size_t bytes = 0;
};

/// Simulates one zone: a store, relays and proxies (the product's own cores) through a storm of reconnects.
class Storm : public simulator::MessageObserver {
 public:
  explicit Storm(const StormOptions& options);

  /// @throw std::runtime_error if the proxies are not all served within ten simulated minutes.
  StormReport run();

  void onSent(simulator::HostId from, simulator::HostId to, simulator::ConnectionId connection,
              const wire::EnvelopeT& message) override;
  void onDelivered(simulator::HostId, simulator::HostId, simulator::ConnectionId,
                   const wire::EnvelopeT& message) override;

 private:
  void addStore();
  void addRelays();
  void addProxies();
  void begin();
  void acceptChanges();
  bool isServed(simulator::Process& proxy) const;
  std::size_t servedCount() const;
  void waitForAll(TimePoint began);
  void count();

  StormOptions options_;
  MeshConfiguration configuration_;
  simulator::EventQueue queue_;
  simulator::Network network_;
  ScriptedStore* store_ = nullptr;
  std::vector<std::unique_ptr<simulator::Disk>> disks_;
  std::unique_ptr<simulator::Process> store_process_;
  std::vector<std::unique_ptr<simulator::Process>> relays_;
  std::vector<std::unique_ptr<simulator::Process>> proxies_;
  StormReport report_;
  TimePoint window_;
  std::size_t window_messages_ = 0;
  std::uint64_t window_bytes_before_ = 0;
};

}  // namespace cometstand::rehearsal

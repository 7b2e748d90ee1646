#pragma once

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <csignal>
#include <deque>
#include <filesystem>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "platform_processes/stand_in_target.h"
#include "rehearsal/fleet/child_process.h"
#include "rehearsal/fleet/http_client.h"
#include "rehearsal/fleet/reserved_port.h"
#include "web/client.h"

namespace cometstand::platform {

/// Host of the route that serveOneRoute() sets.
inline constexpr const char* kTestHost = "shop.example";

/// One of the programs that a mesh runs.
struct MeshProcess {
  std::string name;
  pid_t id = 0;
  /// IP address of its machine.
  std::string host;
};

/// A folder of this test's own, which goes with all it holds unless an exception ends the test.
class TemporaryFolder {
 public:
  TemporaryFolder();
  ~TemporaryFolder();
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;

  const std::filesystem::path& path() const { return path_; }

 private:
  std::filesystem::path path_;
};

/// Who answers the requests of a mesh's targets.
enum class TargetAnswers : std::uint8_t {
  StandIn,
  /// The test, at the targets' addresses. The stand-ins only send heartbeats.
  Test,
};

/// The platform's programs as child processes: three stores, to which others may be added, and sidecars with
/// a stand-in target each in two zones; one in each zone unless a test wants more, which are then in the
/// zones by turns. Each machine is a loopback address of its own, as machines are known by their addresses
/// and share their ports. All of it ends with the object.
class PlatformMesh {
 public:
  static constexpr std::size_t kStores = 3;
  static constexpr std::size_t kZones = 2;
  /// Memory of the usual machines, in units of 1,000,000 bytes.
  static constexpr unsigned kSidecarMemoryMb = 260;
  static constexpr unsigned kStoreMemoryMb = 256;

  /// Starts all programs. They have no configuration yet.
  /// @param work_time how long a target works on each request.
  /// @param sidecar_memory_mb memory of a sidecar's machine, in units of 1,000,000 bytes.
  explicit PlatformMesh(std::size_t sidecars = kZones, Duration work_time = Duration::zero(),
                        unsigned sidecar_memory_mb = kSidecarMemoryMb,
                        TargetAnswers answers = TargetAnswers::StandIn);
  ~PlatformMesh();
  PlatformMesh(const PlatformMesh&) = delete;
  PlatformMesh& operator=(const PlatformMesh&) = delete;

  static std::string zoneName(std::size_t zone);
  StandInTarget& target(std::size_t zone) { return targets_.at(zone); }
  std::size_t sidecarCount() const { return sidecar_processes_.size(); }

  /// Asks one store, without following a redirection.
  /// @return status 0 if there is no answer.
  rehearsal::HttpAnswer askStore(std::size_t store, const rehearsal::HttpQuestion& question) const;
  /// Asks the stores in turn, and those that they name, until one answers neither 307, 503 nor not at all.
  /// @param store asked first.
  /// @return the status of that answer.
  unsigned order(const rehearsal::HttpQuestion& question, std::size_t store = 0) const;
  /// @return the store that leads, once one does.
  std::size_t waitForLeader() const;
  void killStore(std::size_t store) { store_processes_.at(store).reset(); }
  /// Starts a further store, at a new address and with an empty disk. @return its number.
  std::size_t addStore();
  /// Takes a store that has ended off the operator's list, from which programs get their seeds when they
  /// start.
  void removeStore(std::size_t store) { removed_stores_.insert(store); }
  /// Starts a store that has ended, on its disk.
  void startStoreAgain(std::size_t store) { startStore(store, false); }
  /// Empties the disk of a store that has ended.
  void loseStoreDisk(std::size_t store);
  /// SIGTERM. @return how the process ended. @throw Error(Timeout) if it still runs after the limit.
  rehearsal::ProcessEnd stopStore(std::size_t store, Duration limit);
  void signalStore(std::size_t store, int signal) { store_processes_.at(store)->sendSignal(signal); }
  /// @return how the store's process ended. @throw Error(Timeout) if it still runs after the limit.
  rehearsal::ProcessEnd waitForStoreEnd(std::size_t store, Duration limit) {
    return store_processes_.at(store)->waitForEnd(limit);
  }
  /// @return false if the test has ended the store.
  bool runsStore(std::size_t store) const { return store_processes_.at(store) != nullptr; }
  /// @return false if the store's process has ended, by whatever cause.
  bool isStoreAlive(std::size_t store) { return runsStore(store) && store_processes_.at(store)->running(); }
  std::size_t storeCount() const { return store_processes_.size(); }
  /// @return the configuration that a store reads back, once one does.
  std::string readConfiguration() const;
  /// SIGKILL to all stores and, after a pause, a new start on their disks.
  void restartStores(Duration pause);
  /// The same for all sidecars and, if `with_stores`, for all stores with them.
  void restartSidecars(bool with_stores, Duration pause);
  /// Suspends all stores (SIGSTOP), as if every sidecar was cut off from them, or lets them go on.
  void signalStores(int signal);

  void waitForReadiness(std::size_t zone) const;
  /// SIGKILL and a new start; returns before the new process is ready.
  void restartSidecar(std::size_t zone);
  /// Suspends the sidecar's process (SIGSTOP), or lets it go on.
  void suspendSidecar(std::size_t zone) { sidecar_processes_.at(zone)->sendSignal(SIGSTOP); }
  void resumeSidecar(std::size_t zone) { sidecar_processes_.at(zone)->sendSignal(SIGCONT); }
  /// @return false if the sidecar's process has ended.
  bool runsSidecar(std::size_t zone) { return sidecar_processes_.at(zone)->running(); }
  /// SIGKILL, without a new start.
  void killSidecar(std::size_t zone) { sidecar_processes_.at(zone)->kill(); }
  void signalSidecar(std::size_t zone, int signal) { sidecar_processes_.at(zone)->sendSignal(signal); }
  /// Begins the sidecar's planned stop (SIGTERM).
  void stopSidecar(std::size_t zone) { sidecar_processes_.at(zone)->sendSignal(SIGTERM); }
  /// @return how the sidecar's process ended. @throw Error(Timeout) if it still runs after the limit.
  rehearsal::ProcessEnd waitForSidecarEnd(std::size_t zone, Duration limit) {
    return sidecar_processes_.at(zone)->waitForEnd(limit);
  }
  using Endpoint = boost::asio::ip::tcp::endpoint;
  /// @return where the zone's callers ask.
  Endpoint callerEndpoint(std::size_t zone) const;
  /// @return where the platform asks whether the zone's sidecar is ready.
  Endpoint readyEndpoint(std::size_t zone) const;
  /// @return where the zone's target sends its heartbeats.
  Endpoint controlEndpoint(std::size_t zone) const;
  /// @return where the zone's sidecar reaches its target.
  Endpoint targetEndpoint(std::size_t zone) const;
  /// @return where the zone's sidecar takes links of other nodes.
  Endpoint linkEndpoint(std::size_t zone) const;
  /// @return where operators call the store.
  Endpoint storeEndpoint(std::size_t store) const;
  /// @return where the store takes links of other nodes.
  Endpoint storeLinkEndpoint(std::size_t store) const;
  /// @return the programs that run.
  std::vector<MeshProcess> processes();
  /// Sends a request of a new id to the zone's sidecar.
  /// @return the status of the answer, or 0 if there is none.
  /// @param fields further header fields.
  unsigned call(std::size_t zone, const std::map<std::string, std::string>& fields = {});
  /// @return all that the programs have written to their logs so far.
  std::string logs() const;

 private:
  std::string host(std::size_t number) const;
  std::string storeHost(std::size_t store) const;
  std::filesystem::path storeFolder(std::size_t store) const;
  std::string sidecarHost(std::size_t zone) const { return host(1 + kStores + zone); }
  rehearsal::HttpAnswer ask(const std::string& host, const rehearsal::ReservedPort& port,
                            const rehearsal::HttpQuestion& question) const;
  std::string commonSettings(const std::string& host, std::size_t zone, unsigned memory_mb) const;
  std::unique_ptr<rehearsal::ChildProcess> startProgram(const std::string& name, const char* program,
                                                        const std::string& settings) const;
  void startStore(std::size_t store, bool bootstrap);
  void startSidecar(std::size_t zone);

  const unsigned sidecar_memory_mb_;
  TemporaryFolder folder_;
  boost::asio::io_context io_;
  const rehearsal::ReservedPort link_port_;
  const rehearsal::ReservedPort control_port_;
  const rehearsal::ReservedPort ready_port_;
  const rehearsal::ReservedPort caller_port_;
  const rehearsal::ReservedPort target_port_;
  std::atomic<std::uint64_t> calls_ = 0;
  std::deque<StandInTarget> targets_;
  /// @return the control addresses of the first stores on the operator's list.
  std::string seedList() const;
  /// Null for a store that has ended.
  std::vector<std::unique_ptr<rehearsal::ChildProcess>> store_processes_{kStores};
  std::set<std::size_t> removed_stores_;
  std::vector<std::unique_ptr<rehearsal::ChildProcess>> sidecar_processes_;
  std::thread thread_;
};

/// Configures one route, whose requests may be repeated, to the service of all targets, and waits until each
/// target has got a request.
/// @throw Error(Invalid) if the stores refuse the configuration.
void serveOneRoute(PlatformMesh& mesh);

/// @return the configuration that serveOneRoute() sets, under another version.
std::string oneRouteConfiguration(unsigned version);

/// Callers of all sidecars that keep their connections and use them again as long as they are open. Each
/// pauses between its requests, until the object goes.
class KeptConnections {
 public:
  explicit KeptConnections(PlatformMesh& mesh);
  ~KeptConnections();
  KeptConnections(const KeptConnections&) = delete;
  KeptConnections& operator=(const KeptConnections&) = delete;

  /// @return the number of requests that were answered with success.
  std::size_t answered() const { return answered_; }

 private:
  void send(std::size_t zone);

  boost::asio::io_context io_;
  std::deque<web::Client> clients_;
  std::uint64_t sends_ = 0;
  std::atomic<std::size_t> answered_ = 0;
  std::thread thread_;
};

/// Callers that send to all sidecars as fast as they are answered, each pausing between its requests,
/// until the object goes.
class Press {
 public:
  explicit Press(PlatformMesh& mesh);
  ~Press();
  Press(const Press&) = delete;
  Press& operator=(const Press&) = delete;

 private:
  std::atomic<bool> stopping_ = false;
  std::vector<std::thread> threads_;
};

}  // namespace cometstand::platform

#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/random.h"
#include "sidecar/sidecar_core.h"
#include "tests/rollout/process_network.h"
#include "tests/rollout/store_group.h"
#include "tests/target_limits/shutdown_checker.h"
#include "tests/target_limits/statement_checker.h"

namespace cometstand::limits::test {

using rollout::test::ProcessId;
using rollout::test::ProcessNetwork;
using rollout::test::StoreGroup;

/// Three stores and a number of sidecars on a simulated network, each with a target that states limits and
/// leave notices in its responses. Callers send to all sidecars alike.
class StatementMesh {
 public:
  static constexpr std::size_t kMachines = 6;
  static constexpr unsigned kSlots = 4;
  static constexpr Duration kRunTime = std::chrono::milliseconds(50);
  static constexpr Duration kMaxHeartbeatDelay = std::chrono::seconds(4);

  /// @param calls_per_second at all sidecars together.
  StatementMesh(std::uint64_t seed, double calls_per_second);

  void runFor(Duration time) { network.runFor(time); }

  void setLimit(MachineNumber machine, std::optional<double> rate);
  /// The target states that it leaves; its heartbeats still say ready.
  void leave(MachineNumber machine) { machines_.at(machine).is_leaving = true; }
  /// The target's heartbeats say from now on that it drains.
  void announceDraining(MachineNumber machine);
  /// The target sends no more heartbeats but a deregistration, again until it is acknowledged.
  void deregister(MachineNumber machine);
  /// From now on a share of the heartbeats arrives up to kMaxHeartbeatDelay late, as sent by a target that
  /// may have announced its shutdown or started anew since.
  void delayHeartbeats() { delays_heartbeats_ = true; }
  /// The target starts anew under its id.
  void restartTarget(MachineNumber machine);
  void restartSidecar(MachineNumber machine, Duration down);
  /// A planned stop, after which the sidecar starts again.
  void stopSidecar(MachineNumber machine);
  void suspendSidecar(MachineNumber machine, Duration time);
  void cutOff(MachineNumber machine, Duration time);
  void resetLinks(MachineNumber machine);
  void restartStores(Duration down);
  /// All stores and all sidecars terminate at once; their files are kept.
  void restartEverything(Duration down);

  const StatementChecker& checker() const { return checker_; }
  const ShutdownChecker& shutdowns() const { return shutdowns_; }
  std::size_t answered() const { return answered_; }
  std::size_t refused() const { return refused_; }
  /// @return times at which requests reached the target, over all its starts.
  const std::vector<TimePoint>& arrivals(MachineNumber machine) const {
    return machines_.at(machine).arrivals;
  }
  /// @return the longest time from a request to its refusal.
  Duration longestRefusal() const { return longest_refusal_; }

  ProcessNetwork network;

 private:
  /// What a target tells its sidecar about itself.
  enum class Announcement : std::uint8_t { Ready, Draining, Deregistered };

  struct Machine : sidecar::TargetPort, sidecar::CallerPort {
    StatementMesh* mesh = nullptr;
    ProcessId process = 0;
    MachineNumber number = 0;
    std::uint64_t sequence = 0;
    StartNumber start = 0;
    std::optional<double> limit;
    bool is_leaving = false;
    Announcement announcement = Announcement::Ready;
    std::set<sidecar::RunId> running;
    std::vector<TimePoint> arrivals;

    void run(sidecar::RunRequest order) override;
    void requestHealth(const std::string& /*path*/) override {}
    void probe() override {}
    void cancel(sidecar::RunId run) override { running.erase(run); }
    void answer(sidecar::CallId id, sidecar::CallAnswer answer) override;

   private:
    void finish(sidecar::RunId run, StartNumber started_at);
  };
  struct SentCall {
    MachineNumber machine = 0;
    TimePoint at;
  };

  static wire::MeshConfigurationT makeConfiguration();
  void addMachine();
  void sendHeartbeats(Machine& machine);
  void sendHeartbeat(Machine& machine);
  void sendDeregistration(Machine& machine);
  /// @return how the target learns that its leave notice was acknowledged.
  sidecar::LeaveNoticeHandler acknowledgementFor(const Machine& machine);
  static mesh::Incarnation incarnationOf(const Machine& machine);
  void sendCalls();
  sidecar::SidecarCore& coreOf(const Machine& machine) {
    return dynamic_cast<sidecar::SidecarCore&>(network.core(machine.process));
  }

  RandomSource random_;
  StoreGroup stores_;
  StatementChecker checker_;
  ShutdownChecker shutdowns_;
  bool delays_heartbeats_ = false;
  std::deque<Machine> machines_;
  Duration mean_pause_;
  std::map<std::uint64_t, SentCall> calls_;
  std::uint64_t next_call_ = 1;
  StartNumber next_start_ = 0;
  std::size_t answered_ = 0;
  std::size_t refused_ = 0;
  Duration longest_refusal_{};
};

}  // namespace cometstand::limits::test

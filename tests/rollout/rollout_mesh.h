#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/random.h"
#include "process_network.h"
#include "sidecar/sidecar_core.h"
#include "store/store_core.h"
#include "tests/rollout/store_group.h"

namespace cometstand::rollout::test {

inline constexpr const char* kService = "desk";

/// Simulated behaviour of the targets of a version, including its faults.
struct Behaviour {
  Duration run_time = std::chrono::milliseconds(40);
  /// Share of the responses that are failures.
  double failure_share = 0;
  /// Factor by which the run time is longer.
  double run_time_factor = 1;
  /// At targets of all versions, an average of one run in this number takes `long_run_time`; 0 for none.
  std::uint64_t long_run_every = 0;
  Duration long_run_time{};
  /// Timeout of both routes.
  Duration route_timeout = std::chrono::seconds(2);
  /// Time after the order from which on the version is faulty (fails or is slow).
  Duration fault_delay = Duration::zero();
  /// Minimum number of requests at a target for the version to be faulty.
  std::size_t fault_min_load = 0;
  /// The only route on which the version is faulty; empty for all routes.
  std::string fault_route;

  bool isFaulty() const { return failure_share > 0 || run_time_factor > 1; }
};

/// What the targets have observed; the guarantees of a roll-out are checked against it.
struct Observed {
  std::size_t requests_since_order = 0;
  std::size_t new_version_requests_since_order = 0;
  std::size_t faulty_responses = 0;
  /// When the 50th faulty response was sent.
  std::optional<TimePoint> fiftieth_faulty_response_at;
  /// When the last request reached the new version.
  TimePoint last_new_version_request_at;
  /// Requests that were running at a target of the old version when the roll-out was reported as succeeded,
  /// or that began there later.
  std::size_t old_version_requests_after_success = 0;
  /// Requests that began at the new version after the roll-out was reported as rolled back.
  std::size_t new_version_requests_after_rollback = 0;
};

/// A simulated mesh of three stores and of sidecars with targets of an old version; order() adds targets of a
/// new version. Callers send requests to all sidecars, and the targets record what they observe.
class RolloutMesh {
 public:
  RolloutMesh(std::uint64_t seed, Behaviour new_version);

  const std::vector<ProcessId>& stores() const { return store_group_.ids(); }
  /// Orders the roll-out from the current leader; the targets of the new version start shortly afterwards.
  void order(Duration duration);
  /// @return the phase of the roll-out at the leader; nothing without a leader or a roll-out.
  std::optional<wire::RolloutPhase> phase();
  /// @return the reason of the newest step of the roll-out at the leader; empty without a leader or a
  /// roll-out.
  std::string reason();
  void runFor(Duration time) { network.runFor(time); }

  /// @return the runs in progress at the target of the sidecar.
  const std::set<sidecar::RunId>& runsAt(ProcessId sidecar) const;

  std::optional<ProcessId> leader() const { return store_group_.leader(); }
  store::StoreCore& storeAt(ProcessId id) const { return store_group_.at(id); }

  ProcessNetwork network;
  Observed observed;
  std::vector<ProcessId> old_sidecars;
  std::vector<ProcessId> new_sidecars;
  /// If set, only the target of this sidecar has long runs.
  std::optional<ProcessId> long_runs_at;
  /// Sidecars that were partitioned: requests that begin at their own targets are not counted.
  std::set<ProcessId> partitioned;
  TimePoint ordered_at;
  Duration duration{};

 private:
  /// A target with its sidecar, and the callers of that sidecar.
  struct Machine : sidecar::TargetPort, sidecar::CallerPort {
    RolloutMesh* mesh = nullptr;
    ProcessId id = 0;
    std::string version;
    std::string instance;
    std::uint64_t sequence = 0;
    std::set<sidecar::RunId> running;

    void run(sidecar::RunRequest order) override;
    void requestHealth(const std::string& /*path*/) override {}
    void probe() override {}
    void cancel(sidecar::RunId run) override { running.erase(run); }
    void answer(sidecar::CallId /*id*/, sidecar::CallAnswer /*answer*/) override {}
  };

  ProcessId addSidecar(const std::string& version);
  sidecar::SidecarCore& sidecarAt(ProcessId id) {
    return dynamic_cast<sidecar::SidecarCore&>(network.core(id));
  }
  void sendHeartbeat(Machine& machine, Duration cold_time);
  void scheduleHeartbeats(Machine& machine);
  void scheduleCalls(Machine& machine);
  void pollPhases();
  void recordPhase(wire::RolloutPhase phase);
  void recordRunStart(const Machine& machine);
  bool isFaultyRun(const Machine& machine, const wire::ForwardRequestT& request) const;
  void finish(Machine& machine, sidecar::RunId run, bool fails);

  RandomSource random_;
  Behaviour new_version_;
  StoreGroup store_group_;
  std::deque<Machine> machines_;
  std::uint64_t next_call_ = 1;
  bool succeeded_ = false;
  bool rolled_back_ = false;
};

}  // namespace cometstand::rollout::test

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

/// How the targets of a version behave.
struct Behaviour {
  Duration run_time = std::chrono::milliseconds(40);
  /// Share of the answers that fail.
  double failing = 0;
  /// The run time is so many times as long.
  double slowness = 1;
  /// Of all versions, one run in so many takes `long_run_time`; 0 for none.
  std::uint64_t long_run_every = 0;
  Duration long_run_time{};
  /// Of both routes.
  Duration route_timeout = std::chrono::seconds(2);
  /// Failing and slow only from this time after the order on.
  Duration bad_after = Duration::zero();
  /// Failing and slow only with so many requests at the target.
  std::size_t bad_from_load = 0;
  /// Failing and slow on this route only; empty for all.
  std::string bad_route;

  bool isBad() const { return failing > 0 || slowness > 1; }
};

/// What the targets saw, against which the promises are checked.
struct Observed {
  std::size_t all_since_order = 0;
  std::size_t new_since_order = 0;
  std::size_t bad_answers = 0;
  /// When the 50th bad answer came.
  std::optional<TimePoint> fiftieth_bad;
  /// The last request that reached the new version.
  TimePoint last_new;
  /// Requests that began at an old target after the roll-out was said to have succeeded, or that were there
  /// at that moment.
  std::size_t at_old_after_success = 0;
  /// Requests that began at the new version after it was said to be rolled back.
  std::size_t at_new_after_rollback = 0;
};

/// Three stores, and sidecars with targets of an old version; targets of a new version come with the order of
/// a roll-out. Callers send to all sidecars. Whatever the targets see is checked against the promises.
class RolloutMesh {
 public:
  RolloutMesh(std::uint64_t seed, Behaviour new_version);

  const std::vector<ProcessId>& stores() const { return store_group_.ids(); }
  /// Orders the roll-out, whoever leads; the targets of the new version start a moment later.
  void order(Duration duration);
  /// @return the state as the leader has it; nothing without a leader.
  std::optional<wire::RolloutPhase> phase();
  /// @return the newest reason that the leader has.
  std::string reason();
  void runFor(Duration time) { network.runFor(time); }

  /// @return the runs at the target beside the sidecar.
  const std::set<sidecar::RunId>& runsAt(ProcessId sidecar) const;

  std::optional<ProcessId> leader() const { return store_group_.leader(); }
  store::StoreCore& storeAt(ProcessId id) const { return store_group_.at(id); }

  ProcessNetwork network;
  Observed observed;
  std::vector<ProcessId> old_sidecars;
  std::vector<ProcessId> new_sidecars;
  /// If given, long runs are at the target beside this sidecar only.
  std::optional<ProcessId> long_runs_at;
  /// Sidecars that were cut off: what begins at their own targets is not counted.
  std::set<ProcessId> cut_off;
  TimePoint ordered_at;
  Duration duration{};

 private:
  /// A target, the callers of its sidecar, and what both are owed.
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
  void beat(Machine& machine, Duration cold);
  void keepBeating(Machine& machine);
  void keepCalling(Machine& machine);
  void watchState();
  void noteState(wire::RolloutPhase phase);
  void noteBegun(const Machine& machine);
  bool isPoor(const Machine& machine, const wire::ForwardRequestT& request) const;
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

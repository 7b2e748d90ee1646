#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/random.h"
#include "sidecar/sidecar_core.h"
#include "tests/rollout/process_network.h"
#include "tests/rollout/store_group.h"

namespace cometstand::quarantine::test {

using rollout::test::ProcessId;
using rollout::test::ProcessNetwork;
using rollout::test::StoreGroup;

/// A mesh to be built.
struct MeshShape {
  std::size_t stores = 3;
  std::size_t sidecars = 8;
  /// Between two requests of one sidecar's callers, on average.
  Duration call_interval = std::chrono::milliseconds(25);
  /// Contents of repeatable requests; half of all requests are the first one.
  std::uint64_t contents = 20;
};

/// Stores, and sidecars whose targets end when they run a request of certain contents. Callers send sound
/// requests to all sidecars all the time, many of them with equal contents.
class CrashMesh {
 public:
  explicit CrashMesh(std::uint64_t seed, MeshShape shape = {});

  /// Requests for this path end the targets that run them.
  void poison(const std::string& path) { poison_.insert(path); }
  void cure(const std::string& path) { poison_.erase(path); }
  /// From now on a request for that path comes to a drawn sidecar each interval.
  void keepSending(const std::string& path, Duration interval);
  void sendOnce(const std::string& path);
  /// The targets of so many sidecars end now, whatever they run.
  void crashTargets(std::size_t count);
  void runFor(Duration time) { network.runFor(time); }

  const std::vector<ProcessId>& stores() const { return store_group_.ids(); }
  std::optional<ProcessId> leader() const { return store_group_.leader(); }
  sidecar::SidecarCore& sidecarAt(ProcessId id) {
    return dynamic_cast<sidecar::SidecarCore&>(network.core(id));
  }

  /// What became of the requests for one path.
  struct PathRecord {
    /// When a target began to run it.
    std::vector<TimePoint> begun;
    /// When a target ended under it.
    std::vector<TimePoint> ended;
    std::size_t answered = 0;
    std::size_t not_run = 0;
    std::size_t failed = 0;
    /// Refused since it ended targets.
    std::size_t quarantined = 0;
  };
  const PathRecord& at(const std::string& path) { return records_[path]; }
  /// @return runs that began later than `after` since the path's third end of a target; 0 without a third.
  std::size_t begunAfterThirdEnd(const std::string& path, Duration after);
  /// Sums over all paths that never ended a target.
  PathRecord innocents() const;

  ProcessNetwork network;
  std::vector<ProcessId> sidecars;

 private:
  /// A target and the callers of its sidecar.
  struct Machine : sidecar::TargetPort, sidecar::CallerPort {
    struct Run {
      std::string path;
    };

    CrashMesh* mesh = nullptr;
    ProcessId id = 0;
    std::string name;
    std::string instance;
    std::uint64_t sequence = 0;
    bool is_up = true;
    std::map<sidecar::RunId, Run> running;
    std::map<sidecar::CallId, std::string> calls;

    void run(sidecar::RunOrder order) override;
    void askHealth(const std::string& /*path*/) override {}
    void probe() override;
    void cancel(sidecar::RunId run) override { running.erase(run); }
    void answer(sidecar::CallId id, sidecar::CallAnswer answer) override;
  };

  void addSidecar();
  void startTarget(Machine& machine);
  void crashTarget(Machine& machine);
  void beat(Machine& machine);
  void keepBeating(Machine& machine);
  void keepCalling(Machine& machine);
  void call(Machine& machine, const std::string& path);
  std::string drawPath();
  void result(Machine& machine, sidecar::RunId run, wire::ForwardOutcome outcome, Duration after);

  RandomSource random_;
  MeshShape shape_;
  StoreGroup store_group_;
  std::deque<Machine> machines_;
  std::set<std::string> poison_;
  std::map<std::string, PathRecord> records_;
  std::uint64_t next_call_ = 1;
  std::uint64_t next_instance_ = 1;
};

}  // namespace cometstand::quarantine::test

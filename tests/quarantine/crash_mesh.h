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

/// Size and load of the simulated mesh.
struct MeshShape {
  std::size_t stores = 3;
  std::size_t sidecars = 8;
  /// Average interval between the requests of one sidecar's callers.
  Duration call_interval = std::chrono::milliseconds(25);
  /// Number of different contents of repeatable requests; half of all requests are for one popular path.
  std::uint64_t contents = 20;
};

/// Real stores and sidecars on a simulated network, with simulated targets that crash when they run a request
/// with certain contents. Callers continuously send harmless requests to all sidecars, many of them with
/// equal contents.
class CrashMesh {
 public:
  explicit CrashMesh(std::uint64_t seed, MeshShape shape = {});

  /// Makes requests for this path crash the targets that run them.
  void poison(const std::string& path) { poison_.insert(path); }
  void removePoison(const std::string& path) { poison_.erase(path); }
  /// Sends a request for the path to a random sidecar once per interval from now on.
  void sendRepeatedly(const std::string& path, Duration interval);
  void sendOnce(const std::string& path);
  /// Crashes the targets of the first `count` sidecars, whatever they run.
  void crashTargets(std::size_t count);
  void runFor(Duration time) { network.runFor(time); }

  const std::vector<ProcessId>& stores() const { return store_group_.ids(); }
  std::optional<ProcessId> leader() const { return store_group_.leader(); }
  sidecar::SidecarCore& sidecarAt(ProcessId id) {
    return dynamic_cast<sidecar::SidecarCore&>(network.core(id));
  }

  /// Outcomes of the requests for one path.
  struct PathRecord {
    /// When targets began to run a request for the path.
    std::vector<TimePoint> begun;
    /// When targets crashed because of a request for the path.
    std::vector<TimePoint> ended;
    std::size_t answered = 0;
    std::size_t not_run = 0;
    std::size_t failed = 0;
    /// Requests that were refused by the quarantine.
    std::size_t quarantined = 0;
  };
  const PathRecord& at(const std::string& path) { return records_[path]; }
  /// @return number of runs that began more than `after` after the third crash that the path caused; 0 if it
  /// caused fewer than three.
  std::size_t begunAfterThirdCrash(const std::string& path, Duration after);
  /// @return the sums over all paths that never crashed a target.
  PathRecord harmlessRequests() const;

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

    void run(sidecar::RunRequest order) override;
    void requestHealth(const std::string& /*path*/) override {}
    void probe() override;
    void cancel(sidecar::RunId run) override { running.erase(run); }
    void answer(sidecar::CallId id, sidecar::CallAnswer answer) override;
  };

  void addSidecar();
  void startTarget(Machine& machine);
  void crashTarget(Machine& machine);
  void sendHeartbeat(Machine& machine);
  void scheduleHeartbeats(Machine& machine);
  void scheduleCalls(Machine& machine);
  void call(Machine& machine, const std::string& path);
  std::string randomPath();
  void reportResult(Machine& machine, sidecar::RunId run, wire::ForwardOutcome outcome, Duration after);

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

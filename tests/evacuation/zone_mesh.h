#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/random.h"
#include "sidecar/sidecar_core.h"
#include "tests/rollout/process_network.h"
#include "tests/rollout/store_group.h"

namespace cometstand::evacuation::test {

using rollout::test::ProcessId;
using rollout::test::ProcessNetwork;
using rollout::test::StoreGroup;

inline constexpr const char* kFirstZone = "zone-1";
inline constexpr const char* kSecondZone = "zone-2";

/// Simulated mesh of three stores and of sidecars with targets in two zones. The callers of every sidecar
/// send requests continuously.
class ZoneMesh {
 public:
  explicit ZoneMesh(std::uint64_t seed);

  /// Sends the evacuation order to the store once. The result is stored in `answer`.
  void orderAt(ProcessId store, const std::string& zone, bool is_evacuated);
  /// Sends the evacuation order to the leader every 200 ms until it is acknowledged, as operators do.
  /// @return false if it was not acknowledged within the limit.
  bool orderUntilDone(const std::string& zone, bool is_evacuated, Duration limit);
  void runFor(Duration time) { network.runFor(time); }

  const std::vector<ProcessId>& stores() const { return store_group_.ids(); }
  std::optional<ProcessId> leader() const { return store_group_.leader(); }
  const store::StateMachine& stateAt(ProcessId store) const { return store_group_.at(store).stateMachine(); }
  sidecar::SidecarCore& sidecarAt(ProcessId id) {
    return dynamic_cast<sidecar::SidecarCore&>(network.core(id));
  }
  std::vector<ProcessId> sidecarsIn(const std::string& zone) const;
  /// Adds a sidecar with a target and starts it now.
  ProcessId addSidecar(const std::string& zone);

  /// @return the number of requests that targets of the zone have started since that time.
  std::size_t runsStartedIn(const std::string& zone, TimePoint since) const;

  ProcessNetwork network;
  std::optional<store::EvacuationAnswerKind> answer;
  Duration run_time = std::chrono::milliseconds(50);
  std::size_t answered = 0;
  std::size_t refused = 0;
  std::size_t failed = 0;

 private:
  /// Machine of one sidecar, with its target and its callers.
  struct Machine : sidecar::TargetPort, sidecar::CallerPort {
    ZoneMesh* mesh = nullptr;
    ProcessId id = 0;
    std::string name;
    std::string zone;
    std::uint64_t sequence = 0;
    std::set<sidecar::RunId> running;

    void run(sidecar::RunRequest order) override;
    void requestHealth(const std::string& /*path*/) override {}
    void probe() override {}
    void cancel(sidecar::RunId run) override { running.erase(run); }
    void answer(sidecar::CallId id, sidecar::CallAnswer answer) override;
  };

  void sendHeartbeats(Machine& machine);
  void sendCalls(Machine& machine);

  RandomSource random_;
  StoreGroup store_group_;
  std::deque<Machine> machines_;
  std::map<std::string, std::vector<TimePoint>> run_starts_;
  std::uint64_t next_call_ = 1;
};

}  // namespace cometstand::evacuation::test

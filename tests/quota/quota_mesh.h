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

namespace cometstand::quota::test {

using rollout::test::ProcessId;
using rollout::test::ProcessNetwork;
using rollout::test::StoreGroup;

/// Limit of one tenant and the load that its callers offer.
struct TenantLoad {
  std::string name;
  double requests_per_second = 0;
  double burst = 0;
  /// Requests per second that its callers send to all sidecars together.
  double offered_per_second = 0;
};

/// Outcomes of a tenant's requests.
struct TenantAccount {
  /// Times at which requests reached the targets that ran them.
  std::vector<TimePoint> ran;
  /// Numbers of responses to callers, by outcome.
  std::size_t answered = 0;
  std::size_t over_quota = 0;
  std::size_t other = 0;
  /// Number of requests that were reported as not run although they reached a target.
  std::size_t refused_though_run = 0;
};

/// Three stores, and sidecars with targets, connected by a simulated network. Callers of tenants with limits
/// send requests to all sidecars, most of them to one hot spot that moves. Targets run each request for
/// kRunTime.
class QuotaMesh {
 public:
  static constexpr std::size_t kSidecars = 10;
  static constexpr Duration kRunTime = std::chrono::milliseconds(20);

  QuotaMesh(std::uint64_t seed, std::vector<TenantLoad> tenants);

  void runFor(Duration time) { network.runFor(time); }
  /// Lets callers start to send requests.
  void startCalls();
  /// Sends a configuration with this limit for the tenant to the leader.
  /// @return false if there is no leader.
  bool setLimit(const std::string& tenant, double requests_per_second, double burst);
  /// Makes callers send to these sidecars only, or to all of them if the list is empty.
  void sendOnlyTo(std::vector<std::size_t> sidecars) { target_sidecars_ = std::move(sidecars); }

  const TenantAccount& account(const std::string& tenant) { return accounts_[tenant]; }
  /// @return the largest number of the tenant's requests in any window beyond its bound, by the highest limit
  /// in force in that window or the one before it; 0 or less if the bound held.
  double maxExcess(const std::string& tenant);
  const std::vector<ProcessId>& stores() const { return store_group_.ids(); }
  const std::vector<ProcessId>& sidecars() const { return sidecars_; }
  std::optional<ProcessId> leader() const { return store_group_.leader(); }

  ProcessNetwork network;

 private:
  struct Machine : sidecar::TargetPort, sidecar::CallerPort {
    QuotaMesh* mesh = nullptr;
    ProcessId id = 0;
    std::size_t number = 0;
    std::uint64_t sequence = 0;
    std::set<sidecar::RunId> running;

    void run(sidecar::RunRequest order) override;
    void requestHealth(const std::string& /*path*/) override {}
    void probe() override {}
    void cancel(sidecar::RunId run) override { running.erase(run); }
    void answer(sidecar::CallId id, sidecar::CallAnswer answer) override;
  };
  struct LimitChange {
    TimePoint sent_at;
    /// Time of the acknowledgement, from which earlier limits are being replaced.
    std::optional<TimePoint> acknowledged_at;
    double requests_per_second = 0;
    double burst = 0;
  };

  wire::MeshConfigurationT makeConfiguration() const;
  void addSidecar();
  void sendHeartbeats(Machine& machine);
  void sendCalls(const TenantLoad& load);
  void moveHotSpot();
  Machine& pickMachine();
  double boundAt(const std::string& tenant, TimePoint begin, TimePoint end) const;
  sidecar::SidecarCore& coreOf(const Machine& machine) {
    return dynamic_cast<sidecar::SidecarCore&>(network.core(machine.id));
  }

  RandomSource random_;
  StoreGroup store_group_;
  std::vector<TenantLoad> tenants_;
  std::map<std::string, std::vector<LimitChange>> limits_;
  std::map<std::string, TenantAccount> accounts_;
  std::deque<Machine> machines_;
  std::vector<ProcessId> sidecars_;
  std::vector<std::size_t> target_sidecars_;
  /// Index of the sidecar to which most requests are currently sent.
  std::size_t hot_spot_ = 0;
  std::map<std::uint64_t, std::string> tenant_of_call_;
  std::set<std::uint64_t> ran_;
  std::uint64_t next_call_ = 1;
  std::uint64_t revision_ = 1;
};

}  // namespace cometstand::quota::test

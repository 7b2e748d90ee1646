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

/// One tenant and what its callers ask for.
struct TenantLoad {
  std::string name;
  double requests_per_second = 0;
  double burst = 0;
  /// What its callers send over all sidecars.
  double asked_per_second = 0;
};

/// What became of a tenant's requests.
struct TenantAccount {
  /// When each reached the target that ran it.
  std::vector<TimePoint> ran;
  /// Callers' answers.
  std::size_t answered = 0;
  std::size_t over_quota = 0;
  std::size_t other = 0;
  /// Told that they had not run, though they reached a target.
  std::size_t refused_though_run = 0;
};

/// Three stores, and sidecars with targets, linked by a simulated network; callers of tenants with limits
/// send at all sidecars, at each more or less by turns. Targets run what they get for kRunTime.
class QuotaMesh {
 public:
  static constexpr std::size_t kSidecars = 10;
  static constexpr Duration kRunTime = std::chrono::milliseconds(20);

  QuotaMesh(std::uint64_t seed, std::vector<TenantLoad> tenants);

  void runFor(Duration time) { network.runFor(time); }
  /// Callers begin to send.
  void beginCalls();
  /// Sends a configuration with this limit for the tenant to the leader, if there is one. @return false if
  /// not.
  bool setLimit(const std::string& tenant, double requests_per_second, double burst);
  /// Callers send at these sidecars only; at all if it is empty.
  void sendAt(std::vector<std::size_t> sidecars) { sending_ = std::move(sidecars); }

  const TenantAccount& account(const std::string& tenant) { return accounts_[tenant]; }
  /// @return the most requests of the tenant that ran beyond its bound in any window, by the highest limit
  /// that was in force in it or in the window before; 0 or less if the bound held.
  double mostBeyond(const std::string& tenant);
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
    /// From then on the limits before do not count any more.
    std::optional<TimePoint> acknowledged_at;
    double requests_per_second = 0;
    double burst = 0;
  };

  wire::MeshConfigurationT makeConfiguration() const;
  void addSidecar();
  void keepBeating(Machine& machine);
  void keepCalling(const TenantLoad& load);
  void shiftDemand();
  Machine& drawMachine();
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
  std::vector<std::size_t> sending_;
  /// The sidecar at which most callers are now.
  std::size_t crowded_ = 0;
  std::map<std::uint64_t, std::string> tenant_of_call_;
  std::set<std::uint64_t> ran_;
  std::uint64_t next_call_ = 1;
  std::uint64_t revision_ = 1;
};

}  // namespace cometstand::quota::test

#pragma once

#include <array>
#include <deque>
#include <map>
#include <set>
#include <string>

#include "base/random.h"
#include "sidecar/sidecar_core.h"
#include "tests/rollout/process_network.h"
#include "tests/rollout/store_group.h"

namespace cometstand::regions::test {

using rollout::test::ProcessId;

/// Parameters of a simulated mesh.
struct MeshSetup {
  std::uint64_t seed = 1;
  /// Requests a second of each sidecar's callers, by region.
  std::map<std::string, double> calls_per_second;
  /// Capacity of the link between the regions in bytes a second, each way.
  double link_bandwidth = 1e9;
  /// Capacity of the link by the sidecars' settings; 0 if it is not configured.
  double configured_link_bandwidth = 0;
  /// Bytes of an answer of the route /large/, which gets a fifth of all requests.
  std::size_t large_answer_bytes = 400;
  /// Regions that the route /kept/ is restricted to; if empty, the route gets no requests.
  std::vector<std::string> restricted_regions;
};

/// Outcomes of the requests of one region's callers on one route.
struct OutcomeCounts {
  std::size_t answered = 0;
  std::size_t not_run = 0;
  std::size_t other = 0;
  std::size_t all() const { return answered + not_run + other; }
  double answeredShare() const {
    return static_cast<double>(answered) / static_cast<double>(std::max<std::size_t>(1, all()));
  }
};

/// Simulates stores in region "east" and sidecars with targets in "east" and "west", with one link of limited
/// capacity and 30 ms latency between the regions.
class RegionMesh {
 public:
  static constexpr std::size_t kSidecarsPerRegion = 5;

  explicit RegionMesh(MeshSetup setup);

  void runFor(Duration time) { network.runFor(time); }
  /// Resets all counters except `disallowed_runs`.
  void resetCounters();
  /// Makes the link between the regions drop all messages silently, or restores it.
  void setPartitioned(bool is_partitioned);
  /// Publishes a configuration that restricts the route /kept/ to these regions.
  void restrictTo(std::vector<std::string> regions);

  OutcomeCounts outcomes(const std::string& region) const;
  OutcomeCounts outcomes(const std::string& region, const std::string& route) const;

  rollout::test::ProcessNetwork network;
  /// Requests on /kept/ that targets started to run, by region.
  std::map<std::string, std::size_t> restricted_runs;
  /// Requests on /kept/ that ran although the sidecar's configuration did not allow its region for the route.
  std::size_t disallowed_runs = 0;
  /// Requests that were sent over the link.
  std::size_t cross_region_requests = 0;
  /// Bytes that were sent over the link, by the sender's region.
  std::map<std::string, double> bytes_sent_by_region;
  /// The longest time that a message was queued at the link.
  Duration max_queue_time{};

 private:
  /// A simulated host with one target and the callers of its sidecar, and their requests in flight.
  struct Machine : sidecar::TargetPort, sidecar::CallerPort {
    RegionMesh* mesh = nullptr;
    ProcessId id = 0;
    std::string region;
    std::string name;
    std::uint64_t sequence = 0;
    std::set<sidecar::RunId> running;
    std::map<sidecar::CallId, std::string> calls;

    void run(sidecar::RunRequest order) override;
    void requestHealth(const std::string& /*path*/) override {}
    void probe() override {}
    void cancel(sidecar::RunId run) override { running.erase(run); }
    void answer(sidecar::CallId call, sidecar::CallAnswer answer) override;
  };

  void addMachine(const std::string& region);
  sidecar::SidecarCore& sidecarOf(const Machine& machine) {
    return dynamic_cast<sidecar::SidecarCore&>(network.core(machine.id));
  }
  void scheduleHeartbeats(Machine& machine);
  void scheduleCalls(Machine& machine);
  std::string drawRoute();
  /// Resets all connections between the regions.
  void resetCrossRegionLinks();
  std::string regionOf(ProcessId id) const;
  std::optional<Duration> latencyOf(ProcessId from, ProcessId to, const wire::EnvelopeT& message);
  wire::MeshConfigurationT makeConfiguration() const;

  MeshSetup setup_;
  RandomSource random_;
  rollout::test::StoreGroup stores_;
  std::deque<Machine> machines_;
  std::map<ProcessId, std::string> regions_;
  bool is_partitioned_ = false;
  std::map<std::string, TimePoint> link_free_at_;
  std::map<std::pair<std::string, std::string>, OutcomeCounts> outcomes_;
  std::uint64_t next_call_ = 1;
  std::uint64_t revision_ = 0;
};

}  // namespace cometstand::regions::test

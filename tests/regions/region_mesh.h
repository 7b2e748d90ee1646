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

/// What a test varies.
struct MeshSetup {
  std::uint64_t seed = 1;
  /// Requests a second of each sidecar's callers, by region.
  std::map<std::string, double> calls_per_second;
  /// Bytes a second of the link between the regions, each way.
  double link = 1e9;
  /// The same as the sidecars' settings say.
  double known_link = 0;
  /// Of the answers of /large/, which are a fifth of all.
  std::size_t large_answer = 400;
  /// Regions of the route /kept/; without any nobody calls it.
  std::vector<std::string> kept_to;
};

/// What became of one region's callers' requests on one route.
struct Served {
  std::size_t answered = 0;
  std::size_t not_run = 0;
  std::size_t other = 0;
  std::size_t all() const { return answered + not_run + other; }
  double share() const {
    return static_cast<double>(answered) / static_cast<double>(std::max<std::size_t>(1, all()));
  }
};

/// Stores in the region "east", and sidecars with targets in "east" and "west", 30 ms from each other over
/// one link of a bounded width.
class RegionMesh {
 public:
  static constexpr std::size_t kSidecarsOfRegion = 5;

  explicit RegionMesh(MeshSetup setup);

  void runFor(Duration time) { network.runFor(time); }
  /// Forgets what was counted until now.
  void beginCounting();
  /// The link between the regions loses everything without notice, or works again.
  void setCut(bool is_cut);
  /// Changes the regions of the route /kept/ by a new configuration.
  void keepTo(std::vector<std::string> regions);

  Served served(const std::string& region) const;
  Served served(const std::string& region, const std::string& route) const;

  rollout::test::ProcessNetwork network;
  /// Runs of /kept/ that began at targets, by region.
  std::map<std::string, std::size_t> kept_runs;
  /// Those of them whose sidecar knew then that its region is none of the route's.
  std::size_t kept_wrong = 0;
  /// Requests that entered the link.
  std::size_t requests_between = 0;
  /// Bytes that entered the link, by the region they came from.
  std::map<std::string, double> bytes_from;
  /// The longest time that a message waited for the link.
  Duration longest_queue{};

 private:
  /// A target, the callers of its sidecar, and what both are owed.
  struct Machine : sidecar::TargetPort, sidecar::CallerPort {
    RegionMesh* mesh = nullptr;
    ProcessId id = 0;
    std::string region;
    std::string name;
    std::uint64_t sequence = 0;
    std::set<sidecar::RunId> running;
    std::map<sidecar::CallId, std::string> calls;

    void run(sidecar::RunOrder order) override;
    void askHealth(const std::string& /*path*/) override {}
    void probe() override {}
    void cancel(sidecar::RunId run) override { running.erase(run); }
    void answer(sidecar::CallId call, sidecar::CallAnswer answer) override;
  };

  void addMachine(const std::string& region);
  sidecar::SidecarCore& sidecarOf(const Machine& machine) {
    return dynamic_cast<sidecar::SidecarCore&>(network.core(machine.id));
  }
  void keepBeating(Machine& machine);
  void keepCalling(Machine& machine);
  std::string drawRoute();
  /// Ends all links between the regions.
  void resetBetween();
  std::string regionOf(ProcessId id) const;
  std::optional<Duration> wayOf(ProcessId from, ProcessId to, const wire::EnvelopeT& message);
  wire::MeshConfigurationT makeConfiguration() const;

  MeshSetup setup_;
  RandomSource random_;
  rollout::test::StoreGroup stores_;
  std::deque<Machine> machines_;
  std::map<ProcessId, std::string> regions_;
  bool is_cut_ = false;
  std::map<std::string, TimePoint> link_free_at_;
  std::map<std::pair<std::string, std::string>, Served> served_;
  std::uint64_t next_call_ = 1;
  std::uint64_t revision_ = 0;
};

}  // namespace cometstand::regions::test

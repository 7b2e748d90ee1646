#pragma once

#include <string>
#include <vector>

#include "base/random.h"
#include "mesh_soak/schedule.h"
#include "platform_processes/platform_mesh.h"

namespace cometstand::platform {

/// One series of faults of stores: planned and unplanned restarts, lost disks, replacements, suspensions, and
/// the end of all stores. Each begins once the one before it is tolerated again. Each step notices processes
/// that ended by themselves.
class StoreFaults {
 public:
  StoreFaults(PlatformMesh& mesh, Schedule& schedule, std::uint64_t seed)
      : mesh_(mesh), schedule_(schedule), random_(seed) {}

  /// Begins the series; no fault begins after `time`.
  void begin(Duration time);
  void check();
  /// @return what went wrong, a line each.
  const std::vector<std::string>& failures() const { return failures_; }
  std::size_t count() const { return count_; }

 private:
  enum class Fault : std::uint8_t { Killed, Stopped, DiskLost, Suspended, Replaced, AllKilled };

  void injectNext();
  void reloadOne();
  void inject(Fault fault, std::size_t store);
  void stop(std::size_t store, const std::function<void()>& then);
  void startAgain(std::size_t store);
  void replace(std::size_t store);
  std::vector<std::size_t> running() const;

  PlatformMesh& mesh_;
  Schedule& schedule_;
  RandomSource random_;
  TimePoint end_;
  std::vector<std::string> failures_;
  std::size_t count_ = 0;
};

}  // namespace cometstand::platform

#pragma once

#include <map>
#include <string>

#include "base/time.h"
#include "schema/mesh_generated.h"

namespace cometstand::sidecar {

/// Counts a target's results by route while a roll-out of its service is in progress, for the analysis of the
/// roll-out. The counts are cumulative since this sidecar learned of the roll-out.
class RunSamples {
 public:
  /// Resets the counts if this is another roll-out than the current one; 0 for none.
  void follow(std::uint64_t rollout);
  bool isActive() const { return rollout_ != 0; }

  void recordStart();
  /// @param was_cold the target was still cold when the run began: the run time is not counted.
  void recordCompletion(const std::string& route, bool failed, Duration time, bool was_cold);

  /// Writes the counts to the report.
  void fill(wire::RolloutReportT& report) const;

 private:
  struct Route {
    std::uint64_t ended = 0;
    std::uint64_t failed = 0;
    std::vector<std::uint64_t> run_times;
  };

  void recordRunTime(Route& route, Duration time);

  std::uint64_t rollout_ = 0;
  std::uint64_t started_ = 0;
  std::map<std::string, Route> routes_;
};

}  // namespace cometstand::sidecar

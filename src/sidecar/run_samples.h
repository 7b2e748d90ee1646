#pragma once

#include <map>
#include <string>

#include "base/time.h"
#include "schema/mesh_generated.h"

namespace cometstand::sidecar {

/// Counts what a target makes of requests while a roll-out of its service runs, by route, for the roll-out's
/// analysis. Cumulative since the roll-out was heard of.
class RunSamples {
 public:
  /// Begins anew if this is another roll-out than the one that is counted; 0 for none.
  void follow(std::uint64_t rollout);
  bool counts() const { return rollout_ != 0; }

  void noteBegun();
  /// @param was_cold the target was slow from its start when the run began: its time says nothing.
  void noteEnded(const std::string& route, bool failed, Duration time, bool was_cold);

  /// Fills in the counts of a report.
  void fill(wire::RolloutReportT& report) const;

 private:
  struct Route {
    std::uint64_t ended = 0;
    std::uint64_t failed = 0;
    std::vector<std::uint64_t> run_times;
  };

  void noteTime(Route& route, Duration time);

  std::uint64_t rollout_ = 0;
  std::uint64_t begun_ = 0;
  std::map<std::string, Route> routes_;
};

}  // namespace cometstand::sidecar

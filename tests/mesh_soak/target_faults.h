#pragma once

#include <cstddef>

#include "base/random.h"
#include "broken_responses/faulty_targets.h"
#include "mesh_soak/schedule.h"

namespace cometstand::platform {

/// Targets in trouble: for drawn times, drawn targets answer a share of their requests, health checks among
/// them, by broken forms. Such times follow each other and overlap until the end, beside all other faults.
class TargetFaults {
 public:
  TargetFaults(FaultyTargets& targets, Schedule& schedule, std::size_t target_count, std::uint64_t seed)
      : targets_(targets), schedule_(schedule), target_count_(target_count), random_(seed) {}

  /// Begins the series; no trouble begins after `time`.
  void begin(Duration time);
  /// @return the number of times in which a target was in trouble.
  std::size_t count() const { return count_; }

 private:
  /// Series that overlap.
  static constexpr std::size_t kOverlapping = 3;

  void disturbNext();

  FaultyTargets& targets_;
  Schedule& schedule_;
  const std::size_t target_count_;
  RandomSource random_;
  TimePoint end_;
  std::size_t count_ = 0;
};

}  // namespace cometstand::platform

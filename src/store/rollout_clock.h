#pragma once

#include <map>
#include <string>

#include "base/time.h"
#include "store/rollout_register.h"

namespace cometstand::store {

/// Measures the time since each roll-out was ordered, by this replica's steady clock. The replicated state
/// holds the time elapsed at each step, and each replica adds the time since it applied that step. A new
/// leader thus continues the measurement, and loses only the time between the last step and its own
/// application of it.
class RolloutClock {
 public:
  /// Must be called after log entries are applied.
  void refresh(const RolloutRegister& rollouts, TimePoint now) {
    if (seen_changes_ == rollouts.changeCount()) return;
    seen_changes_ = rollouts.changeCount();
    for (const auto& [service, record] : rollouts.all()) {
      auto& start = starts_[service];
      const TimePoint ordered_at = now - std::chrono::milliseconds(record->elapsed_ms);
      // The elapsed time never decreases while the roll-out is the same one.
      start.ordered_at = start.number == record->number ? std::min(start.ordered_at, ordered_at) : ordered_at;
      start.number = record->number;
    }
  }

  /// @return the time since the service's latest roll-out was ordered; zero if there is none.
  Duration elapsed(const std::string& service, TimePoint now) const {
    const auto found = starts_.find(service);
    return found == starts_.end() ? Duration::zero() : now - found->second.ordered_at;
  }

 private:
  struct Start {
    std::uint64_t number = 0;
    TimePoint ordered_at;
  };

  std::map<std::string, Start> starts_;
  std::uint64_t seen_changes_ = 0;
};

}  // namespace cometstand::store

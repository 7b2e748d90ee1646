#pragma once

#include <map>
#include <string>

#include "base/time.h"
#include "store/rollout_register.h"

namespace cometstand::store {

/// How long ago each roll-out was ordered, by this replica's steady clock. The replicated state holds the
/// time that had passed at each step; from there each replica counts on from when it applied the step. So a
/// new leader goes on with the count; it loses what passed between the last step and its own hearing of that.
class RolloutClock {
 public:
  /// To be called after entries were applied.
  void refresh(const RolloutRegister& rollouts, TimePoint now) {
    if (seen_changes_ == rollouts.changes()) return;
    seen_changes_ = rollouts.changes();
    for (const auto& [service, record] : rollouts.all()) {
      auto& start = starts_[service];
      const TimePoint told = now - std::chrono::milliseconds(record->elapsed_ms);
      // A later step never makes a roll-out younger.
      start.ordered_at = start.number == record->number ? std::min(start.ordered_at, told) : told;
      start.number = record->number;
    }
  }

  /// @return time since the service's newest roll-out was ordered; zero if there is none.
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

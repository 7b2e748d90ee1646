#pragma once

#include <algorithm>
#include <map>

#include "base/time.h"
#include "runtime/process_core.h"

namespace cometstand::sidecar {

/// Shares the rate of a limited target among the senders that use it: each response assigns its sender the
/// time of its next request, so that senders neither send at the same time nor need a refusal to learn that
/// they have to wait.
class LimitTurns {
 public:
  /// The longest time until a turn. A sender that waits longer would learn too late that the limit is lifted.
  static constexpr Duration kMaxWait = std::chrono::seconds(4);

  /// @return the time until the sender's next request: its pending turn, or the next free one.
  /// @param rate requests per second of all senders together.
  Duration waitOf(runtime::LinkId sender, double rate, TimePoint now) {
    std::erase_if(turns_, [now](const auto& item) { return item.second <= now; });
    const auto [turn, is_new] = turns_.try_emplace(sender, now);
    if (is_new) {
      const Duration interval(static_cast<Duration::rep>(kMicrosecondsPerSecond / rate));
      last_turn_ = std::min(std::max(last_turn_, now) + interval, now + kMaxWait);
      turn->second = last_turn_;
    }
    return turn->second - now;
  }

  void clear() {
    turns_.clear();
    last_turn_ = {};
  }

 private:
  static constexpr double kMicrosecondsPerSecond = 1e6;

  /// Turns that are still to come.
  std::map<runtime::LinkId, TimePoint> turns_;
  TimePoint last_turn_;
};

}  // namespace cometstand::sidecar

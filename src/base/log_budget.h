#pragma once

#include <algorithm>
#include <cstdint>

#include "base/time.h"

namespace cometstand {

/// Bounds the lines of one kind of event: a token bucket.
class LogBudget {
 public:
  static constexpr double kLinesPerSecond = 50;
  static constexpr double kBurst = 200;

  /// @return true if a line may be written now; else it counts as dropped.
  bool take(TimePoint now) {
    const double passed = static_cast<double>((now - filled_at_).count()) / kMicrosecondsPerSecond;
    lines_ = std::min(kBurst, lines_ + passed * kLinesPerSecond);
    filled_at_ = now;
    if (lines_ < 1) {
      ++dropped_;
      return false;
    }
    lines_ -= 1;
    return true;
  }

  /// A line that was taken could not be written.
  void drop() { ++dropped_; }

  /// @return lines dropped since the last call.
  std::uint64_t takeDropped() {
    const std::uint64_t dropped = dropped_;
    dropped_ = 0;
    return dropped;
  }

 private:
  static constexpr double kMicrosecondsPerSecond = 1e6;

  double lines_ = kBurst;
  TimePoint filled_at_;
  std::uint64_t dropped_ = 0;
};

}  // namespace cometstand

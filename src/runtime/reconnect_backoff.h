#pragma once

#include <algorithm>

#include "base/random.h"
#include "base/time.h"

namespace cometstand::runtime {

/// Pause before the next connect: exponential with full jitter, so that the processes that lost one peer
/// together do not come back together.
class ReconnectBackoff {
 public:
  ReconnectBackoff(Duration minimum, Duration maximum) : minimum_(minimum), maximum_(maximum) {}

  /// @return a pause from [0, ceiling]; the ceiling doubles with each call up to the maximum.
  Duration next(RandomSource& random) {
    ceiling_ = std::clamp(ceiling_ * 2, minimum_, maximum_);
    return random.uniform(Duration::zero(), ceiling_);
  }

  /// Longest wish of a peer that is honoured: a wrong one must not keep a process away for days.
  static constexpr Duration kLongestWish = std::chrono::minutes(1);

  /// Enough to part those that were told to come back at one moment.
  static constexpr Duration kMaxExtraWait = std::chrono::seconds(1);

  /// @return a pause that honours a peer's wish up to kLongestWish: from [wish, wish + half of it], at most
  ///     kMaxExtraWait more.
  static Duration honour(Duration wish, RandomSource& random) {
    wish = std::min(wish, kLongestWish);
    return wish + random.uniform(Duration::zero(), std::min(wish / 2, kMaxExtraWait));
  }

  /// Call it when a peer proved useful.
  void reset() { ceiling_ = Duration::zero(); }

 private:
  Duration minimum_;
  Duration maximum_;
  Duration ceiling_ = Duration::zero();
};

}  // namespace cometstand::runtime

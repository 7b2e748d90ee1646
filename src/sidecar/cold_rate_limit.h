#pragma once

#include <cstddef>
#include <deque>

#include "base/time.h"

namespace cometstand::sidecar {

/// Bounds the requests that one cold target gets. Two bounds hold together: a token bucket spreads them at
/// the rate that the target bears, and a count over a sliding window keeps the operators' bound, also when
/// the target turns cold just after it got many.
///
/// One gate passes all requests for its target, so a bound here is one over all senders.
class ColdRateLimit {
 public:
  /// @param overshoot, slack of the operators' bound: rate times the first, and the second besides, in any
  /// second.
  ColdRateLimit(double overshoot, double slack) : overshoot_(overshoot), slack_(slack) {}

  /// Requests a second that the target bears while it is cold, above zero.
  void setRate(double requests_per_second) { rate_ = requests_per_second; }

  /// A request goes to the target, cold or warm.
  void noteSent(TimePoint now);
  /// The target is another instance: what the one before got does not count.
  void reset(TimePoint now);

  /// @return requests that a cold target may get now.
  unsigned room(TimePoint now) const;
  /// @return when a cold target may get another request, for so many that wait before it; `now` if at once.
  TimePoint nextRoom(TimePoint now, std::size_t ahead = 0) const;

 private:
  double tokensAt(TimePoint now) const;
  /// @return the most that a cold target may get in a window.
  std::size_t mostInWindow() const;
  std::size_t sentSince(TimePoint time) const;

  double overshoot_;
  double slack_;
  double rate_ = 1;
  /// As of `filled_at_`.
  double tokens_ = 0;
  TimePoint filled_at_;
  /// Times of the sendings of the last window, the oldest first.
  std::deque<TimePoint> sent_;
};

}  // namespace cometstand::sidecar

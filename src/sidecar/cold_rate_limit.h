#pragma once

#include <cstddef>
#include <deque>

#include "base/time.h"

namespace cometstand::sidecar {

/// Limits the requests to one cold target by two bounds at the same time: a token bucket spreads them at the
/// rate that the target can handle, and a count over a sliding window enforces the operators' limit, even if
/// the target turns cold just after it received many.
///
/// The gate passes all requests for its target, so the limit covers all senders together.
class ColdRateLimit {
 public:
  /// @param overshoot, slack terms of the operators' limit: in any second at most rate * overshoot + slack
  /// requests.
  ColdRateLimit(double overshoot, double slack) : overshoot_(overshoot), slack_(slack) {}

  /// Sets how many requests a second the target can handle while it is cold, above zero.
  void setRate(double requests_per_second) { rate_ = requests_per_second; }

  /// Counts a request that is sent to the target, cold or warm.
  void recordSent(TimePoint now);
  /// Starts anew for another instance: requests to the previous one do not count.
  void reset(TimePoint now);

  /// @return the number of requests that may be sent to a cold target now.
  unsigned available(TimePoint now) const;
  /// @return when a cold target may get the next request behind `ahead` queued ones; `now` if at once.
  TimePoint nextAvailable(TimePoint now, std::size_t ahead = 0) const;

 private:
  double tokensAt(TimePoint now) const;
  /// @return the limit on requests to a cold target in one window.
  std::size_t maxInWindow() const;
  std::size_t sentSince(TimePoint time) const;

  double overshoot_;
  double slack_;
  double rate_ = 1;
  /// Tokens as of `filled_at_`.
  double tokens_ = 0;
  TimePoint filled_at_;
  /// Send times of the requests in the last window, oldest first.
  std::deque<TimePoint> sent_;
};

}  // namespace cometstand::sidecar

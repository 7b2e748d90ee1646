#pragma once

#include <cstddef>
#include <deque>

#include "base/time.h"

namespace cometstand::sidecar {

/// What a rate of requests per second permits at most.
struct RateBounds {
  /// Length of the windows over which requests are counted by whoever states the rate.
  Duration window{};
  /// Requests permitted in a window: rate * window * overshoot + slack.
  double overshoot = 1;
  double slack = 0;
  /// Time by which a request may reach the target later than it was sent, and so closer to the requests
  /// behind it; added to the window over which this sidecar counts.
  Duration margin{};
  /// Capacity of the token bucket: requests that may be sent at once after a pause.
  double max_tokens = 1;
};

/// Limits the requests to one target by two bounds at the same time: a token bucket spreads them at the rate,
/// and a count over a sliding window enforces the bound, even if the rate has just become lower.
///
/// The gate passes all requests for its target, so the limit covers all senders together.
class RequestRateLimit {
 public:
  explicit RequestRateLimit(const RateBounds& bounds) : bounds_(bounds) {}

  /// Sets the rate in requests per second, above zero.
  void setRate(double requests_per_second) { rate_ = requests_per_second; }

  /// Counts a request that is sent to the target.
  void recordSent(TimePoint now);
  /// Starts anew for another instance: requests to the previous one do not count.
  void reset(TimePoint now);

  /// @return the number of requests that may be sent now.
  unsigned available(TimePoint now) const;
  /// @return when the next request may be sent behind `ahead` queued ones; `now` if at once.
  TimePoint nextAvailable(TimePoint now, std::size_t ahead = 0) const;
  /// @return the number of requests that count now.
  std::size_t sentInWindow(TimePoint now) const { return sentSince(now - countedTime()); }

 private:
  double tokensAt(TimePoint now) const;
  Duration countedTime() const { return bounds_.window + bounds_.margin; }
  /// @return the limit on requests in one window.
  std::size_t maxInWindow() const;
  std::size_t sentSince(TimePoint time) const;

  RateBounds bounds_;
  double rate_ = 1;
  /// Tokens as of `filled_at_`.
  double tokens_ = 0;
  TimePoint filled_at_;
  /// Send times of the requests that count, oldest first.
  std::deque<TimePoint> sent_;
};

}  // namespace cometstand::sidecar

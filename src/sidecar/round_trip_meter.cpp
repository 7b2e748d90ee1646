#include "sidecar/round_trip_meter.h"

#include <algorithm>

namespace cometstand::sidecar {
namespace {

/// Weight of the newest sample in the smoothed time. The mean covers about ten requests, which is about the
/// number sent between two adaptations of a sender's link share.
constexpr double kSampleWeight = 0.1;
/// Age above which a sample no longer describes the current round-trip time.
constexpr Duration kMaxSampleAge = std::chrono::seconds(5);
/// Window of the minimum, which covers the current and the previous window. After that time, a lasting
/// increase of the round-trip time is no longer taken for a queue. The window is longer than a rate reduction
/// takes to drain a queue.
constexpr Duration kMinimumWindow = std::chrono::seconds(30);

}  // namespace

void RoundTripMeter::note(Duration round_trip, TimePoint now) {
  if (round_trip < Duration::zero()) return;
  if (now >= window_ends_at_) {
    previous_window_min_ = window_min_;
    window_min_ = Duration::max();
    window_ends_at_ = now + kMinimumWindow;
  }
  window_min_ = std::min(window_min_, round_trip);
  const bool is_known = latest(now).has_value();
  const auto newest = std::chrono::duration_cast<Duration>(
      kSampleWeight * std::chrono::duration<double>(round_trip - smoothed_));
  smoothed_ = is_known ? smoothed_ + newest : round_trip;
  sampled_at_ = now;
}

std::optional<Duration> RoundTripMeter::latest(TimePoint now) const {
  if (!sampled_at_ || now > *sampled_at_ + kMaxSampleAge) return std::nullopt;
  return smoothed_;
}

Duration RoundTripMeter::floor() const {
  return sampled_at_ ? std::min(window_min_, previous_window_min_) : Duration::zero();
}

Duration RoundTripMeter::rise(TimePoint now) const {
  const auto time = latest(now);
  return time ? *time - floor() : Duration::zero();
}

}  // namespace cometstand::sidecar

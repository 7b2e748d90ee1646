#include "sidecar/round_trip_meter.h"

#include <algorithm>

namespace cometstand::sidecar {
namespace {

/// Weight of the newest time. Reckoned: some ten requests make the mean, as many as pass between two
/// adjustments of a sender's share.
constexpr double kNewest = 0.1;
/// A time that was measured so long ago says nothing of the way now.
constexpr Duration kTrust = std::chrono::seconds(5);
/// The least time is that of one to two such spans: a way that got longer counts as free again after that.
/// Reckoned: longer than a back-off takes to empty a queue.
constexpr Duration kFloorSpan = std::chrono::seconds(30);

}  // namespace

void RoundTripMeter::note(Duration round_trip, TimePoint now) {
  if (round_trip < Duration::zero()) return;
  if (now >= span_ends_) {
    least_before_ = least_;
    least_ = Duration::max();
    span_ends_ = now + kFloorSpan;
  }
  least_ = std::min(least_, round_trip);
  const bool is_known = latest(now).has_value();
  const auto newest =
      std::chrono::duration_cast<Duration>(kNewest * std::chrono::duration<double>(round_trip - smoothed_));
  smoothed_ = is_known ? smoothed_ + newest : round_trip;
  noted_at_ = now;
}

std::optional<Duration> RoundTripMeter::latest(TimePoint now) const {
  if (!noted_at_ || now > *noted_at_ + kTrust) return std::nullopt;
  return smoothed_;
}

Duration RoundTripMeter::floor() const {
  return noted_at_ ? std::min(least_, least_before_) : Duration::zero();
}

Duration RoundTripMeter::rise(TimePoint now) const {
  const auto time = latest(now);
  return time ? *time - floor() : Duration::zero();
}

}  // namespace cometstand::sidecar

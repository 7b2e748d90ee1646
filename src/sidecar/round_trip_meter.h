#pragma once

#include <optional>

#include "base/time.h"

namespace cometstand::sidecar {

/// What the way to a region and back lately took, and how much more than without any queue on it.
class RoundTripMeter {
 public:
  void note(Duration round_trip, TimePoint now);
  /// @return the smoothed time; nothing if none was measured lately.
  std::optional<Duration> latest(TimePoint now) const;
  /// @return the least time lately: that of the way without a queue; zero before the first.
  Duration floor() const;
  /// @return how far the smoothed time lies above the least; zero if none was measured lately.
  Duration rise(TimePoint now) const;

 private:
  Duration smoothed_{};
  std::optional<TimePoint> noted_at_;
  /// The least of the current span and of the one before.
  Duration least_ = Duration::max();
  Duration least_before_ = Duration::max();
  TimePoint span_ends_;
};

}  // namespace cometstand::sidecar

#pragma once

#include <optional>

#include "base/time.h"

namespace cometstand::sidecar {

/// Measures the recent round-trip time to a region, and how far it exceeds the minimum, which is the time
/// without a queue on the link.
class RoundTripMeter {
 public:
  void note(Duration round_trip, TimePoint now);
  /// @return the smoothed round-trip time; nullopt without a recent sample.
  std::optional<Duration> latest(TimePoint now) const;
  /// @return the recent minimum, which is taken as the round-trip time without a queue; zero before the first
  /// sample.
  Duration floor() const;
  /// @return the smoothed round-trip time less the minimum; zero without a recent sample.
  Duration rise(TimePoint now) const;

 private:
  Duration smoothed_{};
  std::optional<TimePoint> sampled_at_;
  /// Minimum of the current and of the previous window.
  Duration window_min_ = Duration::max();
  Duration previous_window_min_ = Duration::max();
  TimePoint window_ends_at_;
};

}  // namespace cometstand::sidecar

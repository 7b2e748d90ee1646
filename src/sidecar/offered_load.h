#pragma once

#include <cmath>

#include "base/time.h"

namespace cometstand::sidecar {

/// Estimates the offered load of a stream of requests in Erlang, which is the number of slots that it would
/// keep busy: arrivals per second times seconds of run time, refused requests included.
class OfferedLoad {
 public:
  void onArrival(TimePoint now) {
    arrival_rate_ = arrivalRateAt(now) + 1 / kDecaySeconds;
    arrival_rate_at_ = now;
  }

  void onRunTime(Duration time) {
    const double seconds = secondsOf(time);
    run_seconds_ = run_seconds_ == 0 ? seconds : run_seconds_ + kNewestWeight * (seconds - run_seconds_);
  }

  /// @return the smoothed run time; zero before the first result.
  Duration runTime() const {
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(run_seconds_));
  }

  double erlangs(TimePoint now) const { return arrivalRateAt(now) * run_seconds_; }

 private:
  /// Time constant of the exponential decay: an arrival this long ago counts 1/e.
  static constexpr double kDecaySeconds = 1;
  /// Weight of the newest run in the smoothed run time.
  static constexpr double kNewestWeight = 0.1;

  static double secondsOf(Duration time) { return std::chrono::duration<double>(time).count(); }

  double arrivalRateAt(TimePoint now) const {
    return arrival_rate_ * std::exp(-secondsOf(now - arrival_rate_at_) / kDecaySeconds);
  }

  /// Arrivals per second as of `arrival_rate_at_`.
  double arrival_rate_ = 0;
  TimePoint arrival_rate_at_;
  double run_seconds_ = 0;
};

}  // namespace cometstand::sidecar

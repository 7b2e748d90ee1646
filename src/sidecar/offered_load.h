#pragma once

#include <cmath>

#include "base/time.h"

namespace cometstand::sidecar {

/// Estimates how many slots a stream of requests would keep busy, refused ones included: its offered load, in
/// Erlang (arrivals each second times seconds of work each).
class OfferedLoad {
 public:
  void onArrival(TimePoint now) {
    rate_ = rateAt(now) + 1 / kMemorySeconds;
    rated_at_ = now;
  }

  void onRunTime(Duration time) {
    const double seconds = secondsOf(time);
    run_seconds_ = run_seconds_ == 0 ? seconds : run_seconds_ + kNewest * (seconds - run_seconds_);
  }

  /// @return the smoothed time of work; zero before the first.
  Duration runTime() const {
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(run_seconds_));
  }

  double erlangs(TimePoint now) const { return rateAt(now) * run_seconds_; }

 private:
  /// Arrivals of this long ago count 1/e.
  static constexpr double kMemorySeconds = 1;
  /// Weight of the newest run.
  static constexpr double kNewest = 0.1;

  static double secondsOf(Duration time) { return std::chrono::duration<double>(time).count(); }

  double rateAt(TimePoint now) const {
    return rate_ * std::exp(-secondsOf(now - rated_at_) / kMemorySeconds);
  }

  /// Arrivals each second, as of `rated_at_`.
  double rate_ = 0;
  TimePoint rated_at_;
  double run_seconds_ = 0;
};

}  // namespace cometstand::sidecar

#pragma once

#include <cmath>

namespace cometstand::sidecar {

/// Smoothed mean and mean deviation of a series, as TCP keeps them of its round trips (RFC 6298).
class SmoothedValue {
 public:
  void note(double value) {
    if (!has_value_) {
      has_value_ = true;
      mean_ = value;
      deviation_ = value / 2;
      return;
    }
    deviation_ += kNewestDeviation * (std::abs(value - mean_) - deviation_);
    mean_ += kNewest * (value - mean_);
  }

  /// @return 0 before the first value.
  double mean() const { return mean_; }
  /// @return a value that few exceed.
  double high() const { return mean_ + kDeviations * deviation_; }

 private:
  /// Weight of the newest value.
  static constexpr double kNewest = 0.1;
  static constexpr double kNewestDeviation = 0.1;
  /// RFC 6298's: with an even spread no value lies above, with a normal one 1 in 1,400.
  static constexpr double kDeviations = 4;

  bool has_value_ = false;
  double mean_ = 0;
  double deviation_ = 0;
};

}  // namespace cometstand::sidecar

#pragma once

#include <cmath>

namespace cometstand::sidecar {

/// Exponentially smoothed mean and mean deviation of a series, like TCP's round-trip estimate (RFC 6298).
class SmoothedValue {
 public:
  void add(double value) {
    if (!has_value_) {
      has_value_ = true;
      mean_ = value;
      deviation_ = value / 2;
      return;
    }
    deviation_ += kNewestDeviationWeight * (std::abs(value - mean_) - deviation_);
    mean_ += kNewestWeight * (value - mean_);
  }

  /// @return 0 before the first value.
  double mean() const { return mean_; }
  /// @return a value that few samples exceed.
  double upperBound() const { return mean_ + kBoundDeviations * deviation_; }

 private:
  /// Weights of the latest value in the mean and in the deviation.
  static constexpr double kNewestWeight = 0.1;
  static constexpr double kNewestDeviationWeight = 0.1;
  /// Number of deviations in upperBound(), as in RFC 6298. No value of a uniform distribution exceeds the
  /// bound, and 1 in 1,400 of a normal distribution.
  static constexpr double kBoundDeviations = 4;

  bool has_value_ = false;
  double mean_ = 0;
  double deviation_ = 0;
};

}  // namespace cometstand::sidecar

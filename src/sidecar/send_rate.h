#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>

#include "base/time.h"

namespace cometstand::sidecar {

/// Estimates how fast this sidecar can send large responses: the highest rate of the last seconds in which
/// transfers were active, a windowed maximum like the bandwidth estimate of BBR (Cardwell et al., ACM Queue
/// 2016). Slow requesters lower the latest sample, but not the maximum.
class SendRate {
 public:
  /// Starts a new sample when transfers become active after an idle time.
  void begin(TimePoint now) {
    if (now >= window_ends_at_ + kWindowDuration) highest_ = previous_highest_ = 0;
    sample_started_at_ = now;
    sample_bytes_ = 0;
  }

  void onSent(std::size_t bytes, TimePoint now) {
    sample_bytes_ += bytes;
    const Duration time = now - sample_started_at_;
    if (time < kMinSampleDuration) return;
    const double rate = static_cast<double>(sample_bytes_) / std::chrono::duration<double>(time).count();
    if (now >= window_ends_at_) {
      previous_highest_ = highest_;
      highest_ = 0;
      window_ends_at_ = now + kWindowDuration;
    }
    highest_ = std::max(highest_, rate);
    begin(now);
  }

  /// @return 0 before the first sample.
  double bytesPerSecond() const { return std::max(highest_, previous_highest_); }

 private:
  /// Minimum duration of a sample. Bytes that are granted at once, some 500 KB, are handed to the kernel
  /// faster than the link sends them, so that shorter samples would overestimate the rate.
  static constexpr Duration kMinSampleDuration = std::chrono::seconds(1);
  /// Duration of a window. The estimate is the highest rate of the current and the previous window.
  static constexpr Duration kWindowDuration = std::chrono::seconds(5);

  TimePoint sample_started_at_;
  std::size_t sample_bytes_ = 0;
  TimePoint window_ends_at_;
  double highest_ = 0;
  double previous_highest_ = 0;
};

}  // namespace cometstand::sidecar

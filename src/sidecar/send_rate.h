#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>

#include "base/time.h"

namespace cometstand::sidecar {

/// How fast this sidecar can send large answers: the highest rate of the last seconds in which some were
/// under way, as BBR (Cardwell et al., ACM Queue 2016) takes a link's bandwidth. Slow askers lower the newest
/// rate, but not the highest.
class SendRate {
 public:
  /// Answers are under way from now on, and were not before.
  void begin(TimePoint now) {
    if (now >= window_ends_ + kWindow) highest_ = before_ = 0;
    span_began_ = now;
    span_bytes_ = 0;
  }

  void note(std::size_t bytes, TimePoint now) {
    span_bytes_ += bytes;
    const Duration time = now - span_began_;
    if (time < kSpan) return;
    const double rate = static_cast<double>(span_bytes_) / std::chrono::duration<double>(time).count();
    if (now >= window_ends_) {
      before_ = highest_;
      highest_ = 0;
      window_ends_ = now + kWindow;
    }
    highest_ = std::max(highest_, rate);
    begin(now);
  }

  /// @return 0 until it was measured.
  double bytesPerSecond() const { return std::max(highest_, before_); }

 private:
  /// Rates are measured over so much at least: what is granted at once, some 500 KB, goes to the kernel
  /// faster than the link sends it.
  static constexpr Duration kSpan = std::chrono::seconds(1);
  /// The highest rate of this window and of the one before counts.
  static constexpr Duration kWindow = std::chrono::seconds(5);

  TimePoint span_began_;
  std::size_t span_bytes_ = 0;
  TimePoint window_ends_;
  double highest_ = 0;
  double before_ = 0;
};

}  // namespace cometstand::sidecar

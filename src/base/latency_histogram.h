#pragma once

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

#include "base/time.h"

namespace cometstand {

/// Counts durations by fixed buckets, for the metrics of a process.
class LatencyHistogram {
 public:
  /// Upper bounds of the buckets, each included; the last bucket has none.
  static constexpr std::array<Duration, 13> kBounds{
      std::chrono::milliseconds(1),     std::chrono::milliseconds(2),     std::chrono::milliseconds(5),
      std::chrono::milliseconds(10),    std::chrono::milliseconds(20),    std::chrono::milliseconds(50),
      std::chrono::milliseconds(100),   std::chrono::milliseconds(200),   std::chrono::milliseconds(500),
      std::chrono::milliseconds(1000),  std::chrono::milliseconds(2'000), std::chrono::milliseconds(5'000),
      std::chrono::milliseconds(10'000)};

  void note(Duration time) {
    const auto* const bound = std::lower_bound(kBounds.begin(), kBounds.end(), time);
    ++counts_.at(static_cast<std::size_t>(bound - kBounds.begin()));
    sum_ += time;
  }

  /// @return how many durations fell into each bucket, and into no bucket below.
  const std::array<std::uint64_t, kBounds.size() + 1>& counts() const { return counts_; }
  Duration sum() const { return sum_; }

 private:
  std::array<std::uint64_t, kBounds.size() + 1> counts_{};
  Duration sum_ = Duration::zero();
};

}  // namespace cometstand

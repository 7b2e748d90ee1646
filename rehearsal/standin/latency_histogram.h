#pragma once

#include <boost/histogram.hpp>
#include <cstdint>

#include "base/time.h"

namespace cometstand::rehearsal {

/// Latencies from 1 us to 100 s, in bins that are 2.33% wide: a quantile is at most that much too high.
class LatencyHistogram {
 public:
  LatencyHistogram();

  void add(Duration latency);

  std::uint64_t count() const { return count_; }
  Duration max() const { return max_; }

  /// @param share from [0, 1]. @return the upper edge of the bin that holds the quantile; zero when empty.
  Duration quantile(double share) const;

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  using Histogram = decltype(boost::histogram::make_histogram(std::declval<Axis>()));

  Histogram histogram_;
  std::uint64_t count_ = 0;
  Duration max_ = Duration::zero();
};

}  // namespace cometstand::rehearsal

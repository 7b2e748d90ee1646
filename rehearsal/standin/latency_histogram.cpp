#include "rehearsal/standin/latency_histogram.h"

#include <algorithm>

namespace cometstand::rehearsal {
namespace {

constexpr double kLowestUs = 1;
constexpr double kHighestUs = 100e6;
/// 800 bins over 8 decades: each is 10^(1/100) = 1.0233 times the one before.
constexpr unsigned kBins = 800;

}  // namespace

LatencyHistogram::LatencyHistogram()
    : histogram_(boost::histogram::make_histogram(Axis(kBins, kLowestUs, kHighestUs))) {}

void LatencyHistogram::add(Duration latency) {
  histogram_(std::max(static_cast<double>(latency.count()), kLowestUs));
  ++count_;
  max_ = std::max(max_, latency);
}

Duration LatencyHistogram::quantile(double share) const {
  if (count_ == 0) return Duration::zero();
  const double wanted = share * static_cast<double>(count_);
  double seen = 0;
  for (auto&& bin : boost::histogram::indexed(histogram_)) {
    seen += *bin;
    if (seen < wanted) continue;
    const auto edge = Duration(static_cast<Duration::rep>(bin.bin().upper()));
    return std::min(edge, max_);
  }
  return max_;
}

}  // namespace cometstand::rehearsal

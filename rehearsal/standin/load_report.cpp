#include "rehearsal/standin/load_report.h"

namespace cometstand::rehearsal {
namespace {

/// Samples kept, so that a long lag under load takes bounded memory.
constexpr std::size_t kMaxSamples = 200'000;

}  // namespace

void LoadReport::record(TimePoint now, double load) {
  samples_.push_back({now, load});
  if (samples_.size() > kMaxSamples) samples_.pop_front();
}

double LoadReport::reported(TimePoint now) {
  if (lie_) return *lie_;
  while (samples_.size() > 1 && samples_[1].at <= now - lag_) samples_.pop_front();
  if (samples_.empty() || samples_.front().at > now - lag_) return 0;
  return samples_.front().load;
}

}  // namespace cometstand::rehearsal

#include "sidecar/load_estimate.h"

#include <algorithm>

#include "sidecar/endpoint_directory.h"

namespace cometstand::sidecar {
namespace {

/// Age at which a reported load has half its weight.
constexpr Duration kLoadHalfLife = std::chrono::milliseconds(150);
/// Age at which a reported run time has half its weight, so that a slow target is tried again.
constexpr Duration kRunTimeHalfLife = std::chrono::seconds(4);
/// Weight of the assumption that a zone is idle, so that reports some seconds old no longer keep requests
/// away from the zone.
constexpr double kIdleWeight = 0.1;

}  // namespace

double reportWeight(const Endpoint& endpoint, Duration half_life, TimePoint now) {
  const auto age = static_cast<double>((now - endpoint.reported_at).count());
  return 1 / (1 + age / static_cast<double>(half_life.count()));
}

void LoadEstimate::add(const Endpoint& endpoint) {
  const double load_weight = reportWeight(endpoint, kLoadHalfLife, now_);
  auto& load = zone_load_[endpoint.zone];
  load.sum += load_weight * endpoint.reported_load / endpoint.slots;
  load.weights += load_weight;
  mean_load_.sum += load_weight * endpoint.reported_load / endpoint.slots;
  mean_load_.weights += load_weight;
  if (endpoint.run_time == 0) return;
  const double run_weight = reportWeight(endpoint, kRunTimeHalfLife, now_);
  run_time_.sum += run_weight * endpoint.run_time;
  run_time_.weights += run_weight;
}

double LoadEstimate::meanRunTime() const {
  return run_time_.weights == 0 ? 0 : run_time_.sum / run_time_.weights;
}

double LoadEstimate::freeSlotShare() const {
  return std::clamp(1 - mean_load_.sum / (mean_load_.weights + kIdleWeight), 0.0, 1.0);
}

double LoadEstimate::estimatedRequests(const Endpoint& endpoint) const {
  const auto& zone = zone_load_.at(endpoint.zone);
  const double zone_mean = endpoint.slots * zone.sum / (zone.weights + kIdleWeight);
  const double report_weight = reportWeight(endpoint, kLoadHalfLife, now_);
  return std::max<double>(endpoint.outstanding,
                          report_weight * endpoint.reported_load + (1 - report_weight) * zone_mean);
}

}  // namespace cometstand::sidecar

#include "sidecar/load_estimate.h"

#include <algorithm>

#include "sidecar/endpoint_directory.h"

namespace cometstand::sidecar {
namespace {

/// A report of this age counts half.
constexpr Duration kLoadHalfLife = std::chrono::milliseconds(150);
/// How slow a target is counts half after this time, so that it is tried again.
constexpr Duration kRunTimeHalfLife = std::chrono::seconds(4);
/// Weight of the assumption that a zone is idle: what was heard of it some seconds ago no longer keeps
/// requests away.
constexpr double kIdleWeight = 0.1;

}  // namespace

double trustIn(const Endpoint& endpoint, Duration half_life, TimePoint now) {
  const auto age = static_cast<double>((now - endpoint.reported_at).count());
  return 1 / (1 + age / static_cast<double>(half_life.count()));
}

void LoadEstimate::add(const Endpoint& endpoint) {
  const double load_weight = trustIn(endpoint, kLoadHalfLife, now_);
  auto& load = load_[endpoint.zone];
  load.sum += load_weight * endpoint.reported_load / endpoint.slots;
  load.weights += load_weight;
  mean_load_.sum += load_weight * endpoint.reported_load / endpoint.slots;
  mean_load_.weights += load_weight;
  if (endpoint.run_time == 0) return;
  const double run_weight = trustIn(endpoint, kRunTimeHalfLife, now_);
  run_time_.sum += run_weight * endpoint.run_time;
  run_time_.weights += run_weight;
}

double LoadEstimate::meanRunTime() const {
  return run_time_.weights == 0 ? 0 : run_time_.sum / run_time_.weights;
}

double LoadEstimate::freeShare() const {
  return std::clamp(1 - mean_load_.sum / (mean_load_.weights + kIdleWeight), 0.0, 1.0);
}

double LoadEstimate::requestsAt(const Endpoint& endpoint) const {
  const auto& zone = load_.at(endpoint.zone);
  const double usual = endpoint.slots * zone.sum / (zone.weights + kIdleWeight);
  const double trust = trustIn(endpoint, kLoadHalfLife, now_);
  return std::max<double>(endpoint.outstanding, trust * endpoint.reported_load + (1 - trust) * usual);
}

}  // namespace cometstand::sidecar

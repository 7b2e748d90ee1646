#include "sidecar/run_samples.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cometstand::sidecar {
namespace {

/// Bucket i holds run times up to 2^(i/2) ms; the last one reaches about a minute and also holds all longer
/// ones.
constexpr double kBucketsPerDoubling = 2;
constexpr std::size_t kBuckets = 33;

std::size_t bucketIndex(Duration time) {
  const double milliseconds = std::chrono::duration<double, std::milli>(time).count();
  const double bucket = std::ceil(kBucketsPerDoubling * std::log2(std::max(1.0, milliseconds)));
  return std::min(static_cast<std::size_t>(bucket), kBuckets - 1);
}

}  // namespace

void RunSamples::follow(std::uint64_t rollout) {
  if (std::exchange(rollout_, rollout) == rollout) return;
  started_ = 0;
  routes_.clear();
}

void RunSamples::recordStart() {
  if (isActive()) ++started_;
}

void RunSamples::recordRunTime(Route& route, Duration time) {
  route.run_times.resize(kBuckets);
  ++route.run_times[bucketIndex(time)];
}

void RunSamples::recordCompletion(const std::string& name, bool failed, Duration time, bool was_cold) {
  if (!isActive()) return;
  auto& route = routes_[name];
  if (failed) {
    ++route.ended;
    ++route.failed;
  } else if (!was_cold) {
    ++route.ended;
    recordRunTime(route, time);
  }
}

void RunSamples::fill(wire::RolloutReportT& report) const {
  report.begun = started_;
  for (const auto& [name, route] : routes_) {
    auto sample = std::make_shared<wire::RouteSampleT>();
    sample->route = name;
    sample->ended = route.ended;
    sample->failed = route.failed;
    sample->run_times = route.run_times;
    report.samples.push_back(std::move(sample));
  }
}

}  // namespace cometstand::sidecar

#include "store/rollout_analysis.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace cometstand::store {
namespace {

/// Quantile of the stable version's run times above which a run is a candidate for a slow run.
constexpr double kSlowQuantile = 0.9;
/// Number of buckets above that quantile from which a run counts as slow. Buckets are half a power of two
/// wide, so the threshold for slow runs is 1.4 to 2 times the quantile.
constexpr std::size_t kSlowBucketOffset = 1;
/// Increase in the share of poor runs that is still acceptable, because targets differ in speed and in the
/// requests that they receive.
constexpr double kToleratedIncrease = 0.04;
/// Minimum increase in the share of poor runs of a bad version.
constexpr double kMinHarmfulIncrease = 0.2;
/// Probability of a bad verdict for a good version on one route, and of a good verdict for a bad version,
/// provided that the assumptions of the test hold.
constexpr double kFalsePositiveRate = 1e-4;
constexpr double kFalseNegativeRate = 1e-3;
/// A route with fewer runs of the stable version is compared with the sum of all routes of that version.
constexpr std::uint64_t kMinStableRuns = 30;
/// Share of the stable version's runs below which a route is too rare to wait for a verdict on it.
constexpr double kRareRouteShare = 0.02;

double total(const std::vector<std::uint64_t>& counts) {
  return static_cast<double>(std::accumulate(counts.begin(), counts.end(), std::uint64_t{0}));
}

/// @return the index of the first bucket whose runs count as slow.
std::size_t firstSlowBucket(const VersionSamples::Route& stable) {
  const double all = total(stable.run_times);
  double cumulative = 0;
  for (std::size_t bucket = 0; bucket < stable.run_times.size(); ++bucket) {
    cumulative += static_cast<double>(stable.run_times[bucket]);
    if (cumulative >= kSlowQuantile * all) return bucket + 1 + kSlowBucketOffset;
  }
  return stable.run_times.size();
}

struct PoorRuns {
  double poor = 0;
  double all = 0;
};

PoorRuns poorRuns(const VersionSamples::Route& route, std::size_t first_slow) {
  PoorRuns runs;
  runs.all = static_cast<double>(route.ended);
  runs.poor = static_cast<double>(route.failed);
  for (std::size_t bucket = first_slow; bucket < route.run_times.size(); ++bucket)
    runs.poor += static_cast<double>(route.run_times[bucket]);
  runs.poor = std::min(runs.poor, runs.all);
  return runs;
}

VersionSamples::Route sumOfRoutes(const VersionSamples& samples) {
  VersionSamples::Route sum;
  for (const auto& [name, route] : samples.routes()) {
    sum.ended += route.ended;
    sum.failed += route.failed;
    sum.run_times.resize(std::max(sum.run_times.size(), route.run_times.size()));
    for (std::size_t i = 0; i < route.run_times.size(); ++i) sum.run_times[i] += route.run_times[i];
  }
  return sum;
}

RolloutVerdict judgeRoute(const PoorRuns& canary, const PoorRuns& stable) {
  // Adds one poor and one other run so that the estimated share is never exactly 0 or 1.
  const double baseline = (stable.poor + 1) / (stable.all + 2);
  const double acceptable = std::min(baseline + kToleratedIncrease, 1 - kMinHarmfulIncrease);
  const double harmful = std::min(baseline + kMinHarmfulIncrease, 1 - kToleratedIncrease);
  const double log_likelihood_ratio = canary.poor * std::log(harmful / acceptable) +
                                      (canary.all - canary.poor) * std::log((1 - harmful) / (1 - acceptable));
  if (log_likelihood_ratio >= std::log((1 - kFalseNegativeRate) / kFalsePositiveRate))
    return RolloutVerdict::Bad;
  if (log_likelihood_ratio <= std::log(kFalseNegativeRate / (1 - kFalsePositiveRate)))
    return RolloutVerdict::Good;
  return RolloutVerdict::Undecided;
}

}  // namespace

void VersionSamples::add(const wire::RouteSampleT& sample) {
  auto& route = routes_[sample.route];
  route.ended += sample.ended;
  route.failed += sample.failed;
  route.run_times.resize(std::max(route.run_times.size(), sample.run_times.size()));
  for (std::size_t i = 0; i < sample.run_times.size(); ++i) route.run_times[i] += sample.run_times[i];
}

std::uint64_t VersionSamples::ended() const {
  std::uint64_t sum = 0;
  for (const auto& [name, route] : routes_) sum += route.ended;
  return sum;
}

RolloutJudgement judge(const VersionSamples& canary, const VersionSamples& stable) {
  const auto all_stable = sumOfRoutes(stable);
  if (all_stable.ended < kMinStableRuns) return {RolloutVerdict::Undecided, "the old version is hardly used"};
  RolloutJudgement judgement{RolloutVerdict::Good, "no route is worse than before"};
  for (const auto& [name, stable_route] : stable.routes()) {
    const auto found = canary.routes().find(name);
    const auto route = found == canary.routes().end() ? VersionSamples::Route() : found->second;
    const auto& baseline = stable_route.ended >= kMinStableRuns ? stable_route : all_stable;
    const std::size_t first_slow = firstSlowBucket(baseline);
    const auto canary_runs = poorRuns(route, first_slow);
    const auto stable_runs = poorRuns(baseline, first_slow);
    const auto verdict = judgeRoute(canary_runs, stable_runs);
    const auto figures = fmt::format("route {}: {} of {} poor, before {} of {}", name, canary_runs.poor,
                                     canary_runs.all, stable_runs.poor, stable_runs.all);
    if (verdict == RolloutVerdict::Bad) return {RolloutVerdict::Bad, figures};
    const bool is_rare =
        static_cast<double>(stable_route.ended) < kRareRouteShare * static_cast<double>(all_stable.ended);
    if (verdict == RolloutVerdict::Undecided && !is_rare) judgement = {RolloutVerdict::Undecided, figures};
  }
  return judgement;
}

}  // namespace cometstand::store

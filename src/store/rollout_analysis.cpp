#include "store/rollout_analysis.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace cometstand::store {
namespace {

/// Of the old version's runs, the share that is faster than the bound for poor ones.
constexpr double kUsualShare = 0.9;
/// Buckets are half a power of two wide: a run is slow one bucket above the usual ones, that is 1.4 to 2
/// times as long as the slowest tenth begins.
constexpr std::size_t kSlowBuckets = 1;
/// A version is not harmful if this much more of its runs are poor than of the old version's: targets differ
/// in speed and in the requests they get.
constexpr double kToleratedHarm = 0.04;
/// A bad version has at least so many more poor runs.
constexpr double kLeastHarm = 0.2;
/// Chances of calling a good version bad on one route, and of the opposite, where the assumptions hold.
constexpr double kFalseAlarm = 1e-4;
constexpr double kMissed = 1e-3;
/// A route with fewer runs of the old version is compared with all of that version's routes together.
constexpr std::uint64_t kLeastStableRuns = 30;
/// Runs of a route by the new version below which the route is too rare to wait for.
constexpr double kRareShare = 0.02;

double total(const std::vector<std::uint64_t>& counts) {
  return static_cast<double>(std::accumulate(counts.begin(), counts.end(), std::uint64_t{0}));
}

/// @return the first bucket whose runs count as slow.
std::size_t slowFrom(const VersionSamples::Route& stable) {
  const double all = total(stable.run_times);
  double seen = 0;
  for (std::size_t bucket = 0; bucket < stable.run_times.size(); ++bucket) {
    seen += static_cast<double>(stable.run_times[bucket]);
    if (seen >= kUsualShare * all) return bucket + 1 + kSlowBuckets;
  }
  return stable.run_times.size();
}

struct PoorRuns {
  double poor = 0;
  double all = 0;
};

PoorRuns poorRuns(const VersionSamples::Route& route, std::size_t slow_from) {
  PoorRuns runs;
  runs.all = static_cast<double>(route.ended);
  runs.poor = static_cast<double>(route.failed);
  for (std::size_t bucket = slow_from; bucket < route.run_times.size(); ++bucket)
    runs.poor += static_cast<double>(route.run_times[bucket]);
  runs.poor = std::min(runs.poor, runs.all);
  return runs;
}

VersionSamples::Route sumOf(const VersionSamples& samples) {
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
  // One run more of each kind: no share is 0 or 1 for certain.
  const double usual = (stable.poor + 1) / (stable.all + 2);
  const double good = std::min(usual + kToleratedHarm, 1 - kLeastHarm);
  const double bad = std::min(usual + kLeastHarm, 1 - kToleratedHarm);
  const double evidence =
      canary.poor * std::log(bad / good) + (canary.all - canary.poor) * std::log((1 - bad) / (1 - good));
  if (evidence >= std::log((1 - kMissed) / kFalseAlarm)) return RolloutVerdict::Bad;
  if (evidence <= std::log(kMissed / (1 - kFalseAlarm))) return RolloutVerdict::Good;
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
  const auto all_stable = sumOf(stable);
  if (all_stable.ended < kLeastStableRuns)
    return {RolloutVerdict::Undecided, "the old version is hardly used"};
  RolloutJudgement judgement{RolloutVerdict::Good, "no route is worse than before"};
  for (const auto& [name, used] : stable.routes()) {
    const auto found = canary.routes().find(name);
    const auto route = found == canary.routes().end() ? VersionSamples::Route() : found->second;
    const auto& before = used.ended >= kLeastStableRuns ? used : all_stable;
    const std::size_t slow_from = slowFrom(before);
    const auto now = poorRuns(route, slow_from);
    const auto then = poorRuns(before, slow_from);
    const auto verdict = judgeRoute(now, then);
    const auto figures =
        fmt::format("route {}: {} of {} poor, before {} of {}", name, now.poor, now.all, then.poor, then.all);
    if (verdict == RolloutVerdict::Bad) return {RolloutVerdict::Bad, figures};
    const bool is_rare = static_cast<double>(used.ended) < kRareShare * static_cast<double>(all_stable.ended);
    if (verdict == RolloutVerdict::Undecided && !is_rare) judgement = {RolloutVerdict::Undecided, figures};
  }
  return judgement;
}

}  // namespace cometstand::store

#include "rehearsal/checkers/convergence_checker.h"

#include <algorithm>

namespace cometstand::checkers {
namespace {

constexpr double kMedian = 0.5;
constexpr double kNinetyNinth = 0.99;

Duration quantile(const std::vector<Duration>& sorted, double share) {
  if (sorted.empty()) return Duration::zero();
  return sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))];
}

ConvergenceTimes summarize(std::vector<Duration> samples) {
  std::sort(samples.begin(), samples.end());
  return {quantile(samples, kMedian), quantile(samples, kNinetyNinth), quantile(samples, 1), samples.size()};
}

}  // namespace

void ConvergenceChecker::onInForce(const std::string& name, std::uint64_t as_of, TimePoint when) {
  auto& node = nodes_[name];
  if (as_of < node.as_of) {
    log_.add("convergence", when,
             fmt::format("{} went back from {} to {} in force", name, node.as_of, as_of));
  }
  node.as_of = as_of;
  for (auto next = accepted_.upper_bound(node.counted); next != accepted_.end() && next->first <= as_of;
       ++next) {
    // The store's answer may leave later than its word to the relays.
    const auto taken = std::max(when - next->second, Duration::zero());
    samples_.push_back(taken);
    auto& spread = spreads_[next->first];
    ++spread.proxies;
    spread.longest = std::max(spread.longest, taken);
  }
  node.counted = std::max(node.counted, as_of);
}

void ConvergenceChecker::checkConverged(TimePoint accepted_by, TimePoint now) const {
  std::uint64_t due = 0;
  for (const auto& [version, when] : accepted_) {
    if (when <= accepted_by) due = version;
  }
  for (const auto& [name, node] : nodes_) {
    if (node.as_of >= due) continue;
    log_.add("convergence", now,
             fmt::format("{} has {} in force, accepted is {}, and no fault is left", name, node.as_of, due));
  }
}

void ConvergenceChecker::beginMeasuring() {
  samples_.clear();
  spreads_.clear();
}

ConvergenceTimes ConvergenceChecker::times() const { return summarize(samples_); }

ConvergenceTimes ConvergenceChecker::timesToLastProxy() const {
  std::vector<Duration> longest;
  for (const auto& [version, spread] : spreads_) {
    if (spread.proxies == nodes_.size()) longest.push_back(spread.longest);
  }
  return summarize(std::move(longest));
}

}  // namespace cometstand::checkers

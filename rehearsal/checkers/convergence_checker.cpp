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
    samples_.push_back(std::max(when - next->second, Duration::zero()));
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

ConvergenceTimes ConvergenceChecker::times() const {
  auto sorted = samples_;
  std::sort(sorted.begin(), sorted.end());
  return {quantile(sorted, kMedian), quantile(sorted, kNinetyNinth), quantile(sorted, 1), sorted.size()};
}

}  // namespace cometstand::checkers

#include "sidecar/endpoint_cost.h"

#include <algorithm>

namespace cometstand::sidecar {
namespace {

/// Maximum random cost. It spreads senders with the same information over endpoints of similar load.
constexpr double kMaxRandomCost = 0.25;
/// Cost of an endpoint that aborts every response, in units of a full target: it gets only the requests that
/// healthy endpoints refuse.
constexpr double kFailureCost = 4;
/// Age at which a reported failure rate has half its weight, so that a failing endpoint is tried again.
constexpr Duration kFailureHalfLife = std::chrono::seconds(2);
/// Age at which a reported run time has half its weight, so that a slow target is tried again.
constexpr Duration kSlownessHalfLife = std::chrono::seconds(4);
/// Cost of a target that takes twice the mean run time while all targets are idle, in units of a full target.
/// It is scaled by the share of free slots, since each target must get its share when all are busy.
constexpr double kSlownessCost = 0.5;
/// Bounds of the ratio of a target's run time to the mean run time.
constexpr double kMinSlowness = 0.3;
constexpr double kMaxSlowness = 5;
constexpr double kAvoidCost = 100;
/// Cost of a cold target, in units of a full target: warm targets are preferred until they are full.
constexpr double kColdCost = 1;
/// Age at which a reported body wait time has half its weight. The queue at an endpoint holds a few bodies,
/// and each takes about 100 ms on a narrow link.
constexpr Duration kBodyWaitHalfLife = std::chrono::milliseconds(500);

/// Time without a reply that costs nothing, as a multiple of the mean response time, and the cost of each
/// further multiple, in units of a full target.
constexpr double kFreeWaitFactor = 1.5;
constexpr double kMissingReplyCost = 2;
/// Time without a reply after which an endpoint counts as overdue, as a multiple of the mean response time,
/// and the lower bound of that time. A target whose response time rises tenfold from about 40 ms is not yet
/// overdue.
constexpr double kOverdueFactor = 4;
constexpr Duration kMinOverdueTime = std::chrono::milliseconds(500);
/// Weight of the newest response in the smoothed response time.
constexpr double kResponseTimeWeight = 0.05;

constexpr std::uint64_t kRandomSteps = 1'000;

}  // namespace

double EndpointCost::of(const Endpoint& endpoint, const EndpointCriteria& criteria,
                        const LoadEstimate& estimate, RandomSource& random, TimePoint now) const {
  const double spread = static_cast<double>(random.uniform(0, kRandomSteps)) / kRandomSteps;
  double score = estimate.estimatedRequests(endpoint) / endpoint.slots + kMaxRandomCost * spread;
  const double mean_run_time = estimate.meanRunTime();
  if (mean_run_time > 0 && endpoint.run_time > 0) {
    const double slowness = std::clamp(endpoint.run_time / mean_run_time, kMinSlowness, kMaxSlowness);
    score += kSlownessCost * estimate.freeSlotShare() * (slowness - 1) *
             reportWeight(endpoint, kSlownessHalfLife, now);
  }
  score += distance_.of(endpoint, criteria, now);
  score += kFailureCost * endpoint.failure_rate * reportWeight(endpoint, kFailureHalfLife, now);
  score += transferWaitCost(endpoint, criteria, now);
  score += missingReplyCost(endpoint, now);
  if (endpoint.cold_until > now) score += kColdCost;
  if (endpoint.avoid_until > now) score += kAvoidCost;
  return score;
}

/// A wait as long as the request's maximum wait costs as much as a full target.
double EndpointCost::transferWaitCost(const Endpoint& endpoint, const EndpointCriteria& criteria,
                                      TimePoint now) {
  Duration wait{};
  if (criteria.has_large_body) wait += endpoint.intake_wait;
  if (criteria.has_large_answer) wait += endpoint.answer_wait;
  if (wait == Duration::zero() || criteria.max_wait <= Duration::zero()) return 0;
  const double share = static_cast<double>(wait.count()) / static_cast<double>(criteria.max_wait.count());
  return share * reportWeight(endpoint, kBodyWaitHalfLife, now);
}

/// An endpoint whose link or machine is overloaded neither refuses requests nor responds. Without this cost
/// it would seem idle compared with endpoints that report that they are full.
double EndpointCost::missingReplyCost(const Endpoint& endpoint, TimePoint now) const {
  const auto mean = response_time_.find(endpoint.service);
  if (endpoint.outstanding == 0 || mean == response_time_.end()) return 0;
  const auto time_without_reply = static_cast<double>((now - endpoint.no_reply_since).count());
  return kMissingReplyCost * std::max(0.0, time_without_reply / mean->second - kFreeWaitFactor);
}

std::optional<TimePoint> EndpointCost::overdueSince(const Endpoint& endpoint, TimePoint now) const {
  const auto mean = response_time_.find(endpoint.service);
  if (endpoint.outstanding == 0 || mean == response_time_.end()) return std::nullopt;
  const Duration limit{static_cast<Duration::rep>(kOverdueFactor * mean->second)};
  const TimePoint overdue_at = endpoint.no_reply_since + std::max(limit, kMinOverdueTime);
  return now >= overdue_at ? std::optional(overdue_at) : std::nullopt;
}

void EndpointCost::noteAnswered(const std::string& service, Duration time) {
  const auto value = static_cast<double>(time.count());
  const auto [known, is_first] = response_time_.try_emplace(service, value);
  if (!is_first) known->second += kResponseTimeWeight * (value - known->second);
}

}  // namespace cometstand::sidecar

#include "sidecar/endpoint_cost.h"

#include <algorithm>

namespace cometstand::sidecar {
namespace {

/// Spreads senders that know the same over endpoints of about the same load.
constexpr double kRandomCost = 0.25;
/// What an endpoint costs that breaks off every answer, in units of a full target: the sound ones go first,
/// and what they refuse goes there.
constexpr double kFailureCost = 4;
/// Its word on that counts half after this time, so that it is tried again.
constexpr Duration kFailureHalfLife = std::chrono::seconds(2);
/// The same for how slow a target is.
constexpr Duration kSlownessHalfLife = std::chrono::seconds(4);
/// What a target costs that takes twice as long as the mean while all are idle, in units of a full target.
/// The fewer slots are free, the less: when all are busy each must get its share.
constexpr double kSlownessCost = 0.5;
/// Bounds of how many times as slow as the mean a target counts.
constexpr double kFastest = 0.3;
constexpr double kSlowest = 5;
constexpr double kAvoidCost = 100;
/// What a cold target costs, in units of a full one: warm ones go first until they are full.
constexpr double kColdCost = 1;
/// How long bodies wait at an endpoint counts half after this time: the queue there is some bodies long, each
/// of which takes some 100 ms on a narrow link.
constexpr Duration kWaitHalfLife = std::chrono::milliseconds(500);

/// Times the usual answer time for which an endpoint may be silent at no cost, and what each further one
/// costs, in units of a full target.
constexpr double kUsualSilence = 1.5;
constexpr double kSilenceCost = 2;
/// Times the usual answer time, and at least, after which an endpoint counts as missed. Reckoned: a target
/// that has just become ten times as slow as a usual one of some 40 ms is not missed yet.
constexpr double kLongSilence = 4;
constexpr Duration kLeastSilence = std::chrono::milliseconds(500);
/// Weight of the newest answer.
constexpr double kNewestAnswer = 0.05;

constexpr std::uint64_t kRandomSteps = 1'000;

}  // namespace

double EndpointCost::of(const Endpoint& endpoint, const EndpointWant& want, const LoadEstimate& estimate,
                        RandomSource& random, TimePoint now) const {
  const double spread = static_cast<double>(random.uniform(0, kRandomSteps)) / kRandomSteps;
  double score = estimate.requestsAt(endpoint) / endpoint.slots + kRandomCost * spread;
  const double mean_run_time = estimate.meanRunTime();
  if (mean_run_time > 0 && endpoint.run_time > 0) {
    const double slowness = std::clamp(endpoint.run_time / mean_run_time, kFastest, kSlowest);
    score +=
        kSlownessCost * estimate.freeShare() * (slowness - 1) * trustIn(endpoint, kSlownessHalfLife, now);
  }
  score += distance_.of(endpoint, want, now);
  score += kFailureCost * endpoint.failure_rate * trustIn(endpoint, kFailureHalfLife, now);
  score += ofWaiting(endpoint, want, now);
  score += ofSilence(endpoint, now);
  if (endpoint.cold_until > now) score += kColdCost;
  if (endpoint.avoid_until > now) score += kAvoidCost;
  return score;
}

/// An endpoint that would make a body wait for as long as the request may counts like a full target.
double EndpointCost::ofWaiting(const Endpoint& endpoint, const EndpointWant& want, TimePoint now) {
  Duration wait{};
  if (want.has_large_body) wait += endpoint.intake_wait;
  if (want.has_large_answer) wait += endpoint.answer_wait;
  if (wait == Duration::zero() || want.patience <= Duration::zero()) return 0;
  const double share = static_cast<double>(wait.count()) / static_cast<double>(want.patience.count());
  return share * trustIn(endpoint, kWaitHalfLife, now);
}

/// An endpoint whose link or machine is choked refuses nothing and answers nothing, so it would look free
/// beside others that say that they are full.
double EndpointCost::ofSilence(const Endpoint& endpoint, TimePoint now) const {
  const auto usual = answer_time_.find(endpoint.service);
  if (endpoint.outstanding == 0 || usual == answer_time_.end()) return 0;
  const auto silence = static_cast<double>((now - endpoint.silent_since).count());
  return kSilenceCost * std::max(0.0, silence / usual->second - kUsualSilence);
}

std::optional<TimePoint> EndpointCost::missedSince(const Endpoint& endpoint, TimePoint now) const {
  const auto usual = answer_time_.find(endpoint.service);
  if (endpoint.outstanding == 0 || usual == answer_time_.end()) return std::nullopt;
  const Duration limit{static_cast<Duration::rep>(kLongSilence * usual->second)};
  const TimePoint missed_at = endpoint.silent_since + std::max(limit, kLeastSilence);
  return now >= missed_at ? std::optional(missed_at) : std::nullopt;
}

void EndpointCost::noteAnswered(const std::string& service, Duration time) {
  const auto value = static_cast<double>(time.count());
  const auto [known, is_first] = answer_time_.try_emplace(service, value);
  if (!is_first) known->second += kNewestAnswer * (value - known->second);
}

}  // namespace cometstand::sidecar

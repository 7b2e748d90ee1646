#include "proxy/retry_policy.h"

#include <algorithm>

namespace cometstand::proxy {

void RetryPolicy::onSuccess(const ServiceKey& service) {
  const auto found = budgets_.find(service);
  if (found == budgets_.end()) return;
  found->second += options_.budget_share;
  if (found->second >= options_.budget_maximum) budgets_.erase(found);
}

Duration RetryPolicy::backoff(unsigned attempts_made) {
  constexpr unsigned kMaximumDoublings = 16;
  const auto doublings = std::min(attempts_made, kMaximumDoublings);
  const auto most = std::min(options_.backoff_maximum, options_.backoff_base * (1U << doublings));
  return random_.uniform(options_.backoff_base, std::max(options_.backoff_base, most));
}

std::optional<Duration> RetryPolicy::nextAttempt(const RetrySubject& subject, AttemptFailure failure,
                                                 TimePoint now) {
  if (!subject.repeatable && !certainlyDidNotRun(failure)) return std::nullopt;
  if (subject.incoming_attempt > 1) return std::nullopt;
  if (subject.attempts_made > subject.max_retries) return std::nullopt;
  const bool must_pause = failure == AttemptFailure::Shed || failure == AttemptFailure::ServerError;
  const auto pause = must_pause ? backoff(subject.attempts_made) : Duration::zero();
  if (now + pause >= subject.deadline) return std::nullopt;
  // An endpoint that leaves is never chosen again, so such retries end by themselves: a planned stop of a
  // back end must not fail requests because the budget is spent.
  if (failure == AttemptFailure::Leaving) return pause;
  const auto budget = budgets_.try_emplace(subject.service, options_.budget_maximum).first;
  if (budget->second < 1) return std::nullopt;
  budget->second -= 1;
  return pause;
}

}  // namespace cometstand::proxy

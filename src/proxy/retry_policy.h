#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "base/random.h"
#include "proxy/data_path_options.h"
#include "proxy/identifiers.h"

namespace cometstand::proxy {

/// How an attempt failed.
enum class AttemptFailure : std::uint8_t {
  /// No connection came about: no byte of the request was sent.
  NoConnection,
  /// The back end said that it shed the request.
  Shed,
  /// The back end said that it leaves, and did not run the request.
  Leaving,
  /// The connection failed, or the answer was cut short, after bytes of the request may have been sent.
  Aborted,
  /// The answer was a server error that another back end may not have (502, 503, 504).
  ServerError,
};

/// @return true if the back end certainly did not run the request.
constexpr bool certainlyDidNotRun(AttemptFailure failure) {
  return failure == AttemptFailure::NoConnection || failure == AttemptFailure::Shed ||
         failure == AttemptFailure::Leaving;
}

/// What decides whether a request may be tried again.
struct RetrySubject {
  ServiceKey service;
  bool repeatable = false;
  /// From the caller's X-Attempt; above 1 a proxy further up retries already.
  unsigned incoming_attempt = 1;
  unsigned attempts_made = 0;
  unsigned max_retries = 0;
  TimePoint deadline;
};

/// Decides on retries. Each service has a budget: successes fill it, retries draw on it, so that retries stay
/// a small share of the traffic when a service as a whole fails. A plain state machine handed the time.
class RetryPolicy {
 public:
  RetryPolicy(const RetryOptions& options, std::uint64_t seed) : options_(options), random_(seed) {}

  void onSuccess(const ServiceKey& service);

  /// @return the pause before the next attempt, or nothing if there must be none. Draws on the budget.
  std::optional<Duration> nextAttempt(const RetrySubject& subject, AttemptFailure failure, TimePoint now);

  /// @return when a caller should come back, spread by jitter.
  Duration retryAfter() { return random_.uniform(options_.retry_after, 2 * options_.retry_after); }

 private:
  Duration backoff(unsigned attempts_made);

  RetryOptions options_;
  RandomSource random_;
  /// Retries left by service; a missing service has the maximum.
  std::map<ServiceKey, double> budgets_;
};

}  // namespace cometstand::proxy

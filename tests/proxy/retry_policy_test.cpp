#include <catch2/catch.hpp>

#include "proxy/retry_policy.h"

namespace cometstand::proxy {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kNow{std::chrono::seconds(1000)};

RetrySubject subject() {
  RetrySubject subject;
  subject.service = {"t", "s"};
  subject.repeatable = true;
  subject.attempts_made = 1;
  subject.max_retries = 3;
  subject.deadline = kNow + std::chrono::seconds(10);
  return subject;
}

TEST_CASE("retries stay within a share of successes", "[retry]") {
  RetryPolicy policy({}, 1);
  const auto retries = [&] {
    int allowed = 0;
    for (int i = 0; i < 1000; ++i) {
      if (policy.nextAttempt(subject(), AttemptFailure::NoConnection, kNow)) ++allowed;
    }
    return allowed;
  };
  CHECK(retries() == 10);
  for (int i = 0; i < 25; ++i) policy.onSuccess({"t", "s"});
  CHECK(retries() == 5);
  auto other = subject();
  other.service.service = "other";
  CHECK(policy.nextAttempt(other, AttemptFailure::NoConnection, kNow).has_value());
}

TEST_CASE("no retry where it could run twice, is asked for further up, or comes too late", "[retry]") {
  RetryPolicy policy({}, 1);
  auto once = subject();
  once.repeatable = false;
  CHECK_FALSE(policy.nextAttempt(once, AttemptFailure::Aborted, kNow));
  CHECK_FALSE(policy.nextAttempt(once, AttemptFailure::ServerError, kNow));
  CHECK(policy.nextAttempt(once, AttemptFailure::NoConnection, kNow));
  auto repeated = subject();
  repeated.incoming_attempt = 2;
  CHECK_FALSE(policy.nextAttempt(repeated, AttemptFailure::NoConnection, kNow));
  auto spent = subject();
  spent.attempts_made = 4;
  CHECK_FALSE(policy.nextAttempt(spent, AttemptFailure::NoConnection, kNow));
  auto late = subject();
  late.deadline = kNow + milliseconds(1);
  CHECK_FALSE(policy.nextAttempt(late, AttemptFailure::Shed, kNow));
}

TEST_CASE("shed requests pause longer with each attempt", "[retry]") {
  const RetryOptions options;
  RetryPolicy policy(options, 1);
  const auto pause = policy.nextAttempt(subject(), AttemptFailure::Shed, kNow);
  REQUIRE(pause);
  CHECK(*pause >= options.backoff_base);
  CHECK(*pause <= 2 * options.backoff_base);
  CHECK(policy.nextAttempt(subject(), AttemptFailure::NoConnection, kNow) == Duration::zero());
}

}  // namespace
}  // namespace cometstand::proxy

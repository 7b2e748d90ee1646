// How many requests may be sent again, and which.
#include "sidecar/retry_budget.h"

#include <catch2/catch.hpp>

namespace cometstand::sidecar {
namespace {

using std::chrono::seconds;

constexpr TimePoint kNow{seconds(100)};
constexpr bool kUrgent = true;
constexpr bool kPatient = false;

}  // namespace

TEST_CASE("the last token for a service is left to its urgent requests") {
  RetryBudget budget(1, 3, 64);
  for (int i = 0; i < 4; ++i) budget.onRequest("shop", kNow);
  int taken = 0;
  while (budget.take("shop", kPatient, kNow)) ++taken;
  CHECK(taken == 2);
  CHECK(budget.take("shop", kUrgent, kNow));
  CHECK_FALSE(budget.take("shop", kUrgent, kNow));
}

// What each saved up for itself was 3 tokens, 3,500 over 1,178 sidecars, where 1,040 were allowed beyond a
// fifth of the requests.
TEST_CASE("all sidecars together keep to the bound of retries when everything fails at once, at every size") {
  const int sidecars = GENERATE(10, 1'000, 10'000);
  const int requests_per_second = GENERATE(1, 5);
  constexpr int kWindowSeconds = 10;
  // Operators allow about one a sidecar beyond the share, and more where they are few: 64 for 12, 1,040 for
  // 1,178.
  const double slack = sidecars < 100 ? 64 : 0.9 * sidecars;
  const double allowed = 0.2 * sidecars * requests_per_second * kWindowSeconds + slack;
  std::size_t sent_again = 0;
  for (int sidecar = 0; sidecar < sidecars; ++sidecar) {
    RetryBudget budget(0.2, 3, slack);
    budget.setSidecars(static_cast<std::size_t>(sidecars));
    TimePoint now = kNow;
    const Duration pause = seconds(1) / requests_per_second;
    for (int i = 0; i < 60 * requests_per_second; ++i) budget.onRequest("shop", now += pause);
    for (int i = 0; i < kWindowSeconds * requests_per_second; ++i) {
      budget.onRequest("shop", now += pause);
      if (budget.take("shop", kUrgent, now)) ++sent_again;
    }
  }
  CHECK(static_cast<double>(sent_again) <= allowed);
}

}  // namespace cometstand::sidecar

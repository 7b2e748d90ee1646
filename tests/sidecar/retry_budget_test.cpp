// Tests the number of allowed retries and their priority.
#include "sidecar/retry_budget.h"

#include <catch2/catch.hpp>

namespace cometstand::sidecar {
namespace {

using std::chrono::seconds;

constexpr TimePoint kNow{seconds(100)};
constexpr bool kUrgent = true;
constexpr bool kNotUrgent = false;

}  // namespace

TEST_CASE("the last token for a service is reserved for its urgent requests") {
  RetryBudget budget(1, 3, 64);
  for (int i = 0; i < 4; ++i) budget.onRequest("shop", kNow);
  int taken = 0;
  while (budget.take("shop", kNotUrgent, kNow)) ++taken;
  CHECK(taken == 2);
  CHECK(budget.take("shop", kUrgent, kNow));
  CHECK_FALSE(budget.take("shop", kUrgent, kNow));
}

// Guards against too many simultaneous retries: each sidecar saved up 3 tokens, which made 3,500 retries of
// 1,178 sidecars, where 1,040 were allowed beyond a fifth of the requests.
TEST_CASE("all sidecars together keep to the retry limit when all requests fail at once, at any mesh size") {
  const int sidecars = GENERATE(10, 1'000, 10'000);
  const int requests_per_second = GENERATE(1, 5);
  constexpr int kWindowSeconds = 10;
  // Operators allow about one retry per sidecar beyond the share, and more in small meshes: 64 for 12
  // sidecars, 1,040 for 1,178.
  const double slack = sidecars < 100 ? 64 : 0.9 * sidecars;
  const double allowed = 0.2 * sidecars * requests_per_second * kWindowSeconds + slack;
  std::size_t retries = 0;
  for (int sidecar = 0; sidecar < sidecars; ++sidecar) {
    RetryBudget budget(0.2, 3, slack);
    budget.setSidecarCount(static_cast<std::size_t>(sidecars));
    TimePoint now = kNow;
    const Duration request_interval = seconds(1) / requests_per_second;
    for (int i = 0; i < 60 * requests_per_second; ++i) budget.onRequest("shop", now += request_interval);
    for (int i = 0; i < kWindowSeconds * requests_per_second; ++i) {
      budget.onRequest("shop", now += request_interval);
      if (budget.take("shop", kUrgent, now)) ++retries;
    }
  }
  CHECK(static_cast<double>(retries) <= allowed);
}

}  // namespace cometstand::sidecar

// Which requests get the retries that there are.
#include "sidecar/retry_budget.h"

#include <catch2/catch.hpp>
#include <deque>

#include "base/random.h"
#include "sidecar/returning_callers.h"

namespace cometstand::sidecar {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kNow{seconds(100)};
constexpr RetryBudget::Claim kUrgent{true, false};
constexpr RetryBudget::Claim kPatient{false, false};
constexpr RetryBudget::Claim kLastChance{true, true};

/// One sidecar whose callers send two requests a second, come back once after a refusal, and whose every try
/// at a target is turned away with this probability.
struct Shedding {
  static constexpr double kRejected = 0.55;
  static constexpr Duration kDeadline = milliseconds(1'200);

  /// @param by_chance callers that come back are told from fresh ones.
  /// @return the share of callers that are served in the end.
  double play(bool by_chance, int callers) {
    RetryBudget budget(0.2, 3);
    ReturningCallers returning;
    int served = 0;
    std::deque<std::pair<TimePoint, Duration>> due;
    TimePoint now = kNow;
    for (int caller = 0; caller < callers; ++caller) {
      now += milliseconds(500);
      for (; !due.empty() && due.front().first <= now; due.pop_front()) {
        if (serve(budget, returning.note("read", due.front().second) && by_chance, now)) ++served;
      }
      const bool is_last = returning.note("read", kDeadline) && by_chance;
      if (serve(budget, is_last, now)) {
        ++served;
      } else {
        due.emplace_back(now + milliseconds(150), kDeadline - milliseconds(150));
      }
    }
    return static_cast<double>(served) / callers;
  }

 private:
  bool isRejected() { return static_cast<double>(random_.uniform(0, 999)) < kRejected * 1'000; }
  bool serve(RetryBudget& budget, bool is_last_chance, TimePoint now) {
    budget.onRequest("shop");
    if (!isRejected()) return true;
    return budget.take("shop", {true, is_last_chance}, now) && !isRejected();
  }

  RandomSource random_{5};
};

}  // namespace

TEST_CASE("the last token for a service is left to its urgent requests") {
  RetryBudget budget(1, 3);
  for (int i = 0; i < 4; ++i) budget.onRequest("shop");
  int taken = 0;
  while (budget.take("shop", kPatient, kNow)) ++taken;
  CHECK(taken == 2);
  CHECK(budget.take("shop", kUrgent, kNow));
  CHECK_FALSE(budget.take("shop", kUrgent, kNow));
}

TEST_CASE("while retries are scarce, the last token is left to those who will not come back") {
  RetryBudget budget(2, 3);
  budget.onRequest("shop");
  CHECK(budget.take("shop", kUrgent, kNow));
  // Nobody who will not come back has missed one: whoever asks first gets it.
  while (budget.take("shop", kLastChance, kNow)) {
  }
  budget.onRequest("shop");
  CHECK_FALSE(budget.take("shop", kUrgent, kNow));
  CHECK(budget.take("shop", kLastChance, kNow));
  budget.onRequest("shop");
  CHECK(budget.take("shop", kUrgent, kNow + seconds(10)));
}

TEST_CASE("a caller that brings less time than is usual has come back") {
  ReturningCallers returning;
  CHECK_FALSE(returning.note("read", milliseconds(1'200)));
  CHECK_FALSE(returning.note("read", milliseconds(1'199)));
  CHECK(returning.note("read", milliseconds(1'100)));
  CHECK_FALSE(returning.note("other", milliseconds(300)));
  // Callers of the route bring less from now on.
  for (int i = 0; i < 1'000; ++i) returning.note("read", milliseconds(800));
  CHECK_FALSE(returning.note("read", milliseconds(800)));
}

// Reckoned without any retries: 1 - 0.55^2 = 0.70. Before, retries went to whoever asked first.
TEST_CASE("targets that turn requests away at random lose fewer of them by the same number of retries") {
  const double by_order = Shedding().play(false, 20'000);
  const double by_chance = Shedding().play(true, 20'000);
  INFO("served: " << by_order << " by the order of asking, " << by_chance << " by who will not come back");
  CHECK(by_chance > by_order + 0.015);
}

}  // namespace cometstand::sidecar

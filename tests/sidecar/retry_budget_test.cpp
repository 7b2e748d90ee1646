#include "sidecar/retry_budget.h"

#include <catch2/catch.hpp>

namespace cometstand::sidecar {

TEST_CASE("the last token for a service is left to its urgent requests") {
  RetryBudget budget(1, 3);
  for (int i = 0; i < 4; ++i) budget.onRequest("shop");
  int taken = 0;
  while (budget.take("shop", false)) ++taken;
  CHECK(taken == 2);
  CHECK(budget.take("shop", true));
  CHECK_FALSE(budget.take("shop", true));
}

}  // namespace cometstand::sidecar

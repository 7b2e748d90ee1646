#include "overload/memory_budget.h"

#include <catch2/catch.hpp>
#include <cstdint>
#include <utility>
#include <vector>

namespace cometstand::overload {
namespace {

constexpr std::size_t kMebibyte = 1024 * 1024;
constexpr std::size_t kLimit = 64 * kMebibyte;

struct CountingHolder : MemoryHolder {
  void reclaim() override { ++calls; }
  int calls = 0;
};

}  // namespace

// Guards against a sum of charges beyond the memory of the machine.
TEST_CASE("a charge that does not fit is refused and changes nothing", "[overload]") {
  MemoryBudget budget(kLimit);
  MemoryBudget::Charge first(&budget);
  MemoryBudget::Charge second(&budget);
  REQUIRE(first.tryResize(40 * kMebibyte));
  CHECK_FALSE(second.tryResize(30 * kMebibyte));
  CHECK(second.bytes() == 0);
  CHECK(budget.used() == 40 * kMebibyte);
  CHECK(budget.refusals() == 1);
  REQUIRE(first.tryResize(10 * kMebibyte));
  CHECK(second.tryResize(30 * kMebibyte));
}

// Guards against memory that stays charged after its holder is gone, or is given back twice.
TEST_CASE("a charge is given back once, also after it was moved", "[overload]") {
  MemoryBudget budget(kLimit);
  {
    MemoryBudget::Charge charge(&budget);
    REQUIRE(charge.tryResize(kMebibyte));
    MemoryBudget::Charge moved(std::move(charge));
    CHECK(budget.used() == kMebibyte);
    MemoryBudget::Charge assigned(&budget);
    REQUIRE(assigned.tryResize(2 * kMebibyte));
    assigned = std::move(moved);
    CHECK(budget.used() == kMebibyte);
  }
  CHECK(budget.used() == 0);
}

// Guards against ordinary requests that are kept out by a few uploads, or by many bodies.
TEST_CASE("larger charges leave parts of the budget to smaller ones", "[overload]") {
  MemoryBudget budget(kLimit);
  std::vector<MemoryBudget::Charge> charges;
  const auto fill = [&](std::size_t bytes) {
    std::size_t count = 0;
    while (true) {
      MemoryBudget::Charge charge(&budget);
      if (!charge.tryResize(bytes)) return count;
      charges.push_back(std::move(charge));
      ++count;
    }
  };
  CHECK(fill(2 * kMebibyte) > 0);
  CHECK(fill(300'000) > 0);
  CHECK(fill(8'000) > 0);
  CHECK(budget.used() <= kLimit);
}

// Guards against requests that are admitted while answers hold more than the budget.
TEST_CASE("a forced charge may exceed the budget, and nothing else is admitted until it no longer does",
          "[overload]") {
  MemoryBudget budget(kLimit);
  CountingHolder holder;
  budget.addHolder(holder);
  MemoryBudget::Charge answer(&budget);
  answer.resize(2 * kLimit);
  CHECK(holder.calls == 1);
  MemoryBudget::Charge request(&budget);
  CHECK_FALSE(request.tryResize(MemoryBudget::kSmallChargeBytes));
  answer.resize(0);
  CHECK(request.tryResize(MemoryBudget::kSmallChargeBytes));
}

// Guards against a process that is taken out of service because it cannot say that it is ready.
TEST_CASE("the least charges have a share of their own, and no more, while the budget is exceeded",
          "[overload]") {
  MemoryBudget budget(kLimit);
  MemoryBudget::Charge answer(&budget);
  answer.resize(2 * kLimit);
  std::vector<MemoryBudget::Charge> questions;
  MemoryBudget::Charge question(&budget);
  while (question.tryResize(MemoryBudget::kLeastChargeBytes)) {
    questions.push_back(std::move(question));
    question = MemoryBudget::Charge(&budget);
  }
  CHECK(questions.size() * MemoryBudget::kLeastChargeBytes == kLimit / 16);
  questions.clear();
  CHECK(question.tryResize(1));
}

TEST_CASE("without a budget nothing is counted, and nothing refused", "[overload]") {
  MemoryBudget::Charge charge;
  CHECK(charge.tryResize(SIZE_MAX));
  CHECK(charge.bytes() == 0);
}

}  // namespace cometstand::overload

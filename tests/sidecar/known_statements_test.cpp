#include "sidecar/known_statements.h"

#include <catch2/catch.hpp>

namespace cometstand::sidecar::test {
namespace {

const TimePoint kNow{std::chrono::seconds(100)};

runtime::Address addressOf(std::size_t number) { return {"10.0." + std::to_string(number), 7000}; }

Endpoint endpointOf(std::size_t number, const std::string& instance) {
  Endpoint endpoint;
  endpoint.address = addressOf(number);
  endpoint.instance = instance;
  return endpoint;
}

wire::TargetStatementT statementOf(const std::string& instance, std::uint64_t born_ms, bool is_leaving) {
  wire::TargetStatementT statement;
  statement.instance = instance;
  statement.born_ms = born_ms;
  statement.leaving = is_leaving;
  if (!is_leaving) statement.rate_limit = 3;
  return statement;
}

}  // namespace

TEST_CASE("a statement holds for its incarnation only, also where the start time is not known") {
  KnownStatements statements;
  statements.record(addressOf(1), statementOf("a", 7, true), kNow);
  CHECK(statements.isLeaving(endpointOf(1, "a@7")));
  CHECK(statements.isLeaving(endpointOf(1, "a")));
  CHECK_FALSE(statements.isLeaving(endpointOf(1, "a@8")));
  CHECK_FALSE(statements.isLeaving(endpointOf(1, "b")));
  CHECK_FALSE(statements.isLeaving(endpointOf(2, "a@7")));
  statements.record(addressOf(1), statementOf("c", 0, true), kNow);
  CHECK(statements.isLeaving(endpointOf(1, "c@9")));
}

TEST_CASE("a statement that names nothing ends the earlier one") {
  KnownStatements statements;
  statements.record(addressOf(1), statementOf("a", 7, false), kNow);
  REQUIRE(statements.find(endpointOf(1, "a@7")) != nullptr);
  wire::TargetStatementT empty;
  empty.instance = "a";
  statements.record(addressOf(1), empty, kNow);
  CHECK(statements.find(endpointOf(1, "a@7")) == nullptr);
}

TEST_CASE("the oldest statements are dropped beyond the largest number") {
  KnownStatements statements;
  for (std::size_t i = 0; i <= KnownStatements::kMaxStatements; ++i)
    statements.record(addressOf(i), statementOf("a", 1, false), kNow + std::chrono::milliseconds(i));
  CHECK(statements.size() == KnownStatements::kMaxStatements);
  CHECK(statements.find(endpointOf(0, "a@1")) == nullptr);
  CHECK(statements.find(endpointOf(KnownStatements::kMaxStatements, "a@1")) != nullptr);
}

}  // namespace cometstand::sidecar::test

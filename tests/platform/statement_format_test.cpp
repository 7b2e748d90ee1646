#include "platform/statement_format.h"

#include <catch2/catch.hpp>

#include "platform/message_format.h"
#include "platform/names.h"

namespace cometstand::platform {
namespace {

web::SendResult responseWith(const std::vector<std::pair<std::string, std::string>>& fields,
                             unsigned status = 200) {
  web::SendResult result;
  result.outcome = web::SendOutcome::Answered;
  result.response.result(status);
  for (const auto& [name, value] : fields) result.response.insert(name, value);
  return result;
}

sidecar::TargetStatement statementOf(const std::vector<std::string>& limits) {
  std::vector<std::pair<std::string, std::string>> fields;
  fields.reserve(limits.size());
  for (const auto& limit : limits) fields.emplace_back(kServerLimit, limit);
  return readStatement(responseWith(fields).response);
}

}  // namespace

TEST_CASE("a limit is a decimal number of requests a second", "[platform]") {
  CHECK_FALSE(statementOf({}).rate_limit);
  CHECK_FALSE(statementOf({}).has_malformed_limit);
  CHECK(statementOf({"5.6"}).rate_limit == 5.6);
  CHECK(statementOf({"0"}).rate_limit == 0.0);
  CHECK(statementOf({"64"}).rate_limit == 64.0);
}

TEST_CASE("a limit that is no decimal number, or is named twice, is malformed and no limit", "[platform]") {
  for (const auto* text :
       {"", "-1", "-0", "nan", "inf", "1e999", "1e2", "0x10", "fast", "5.6/s", "5,6", "+5"}) {
    INFO(text);
    CHECK(statementOf({text}).has_malformed_limit);
    CHECK_FALSE(statementOf({text}).rate_limit);
  }
  CHECK(statementOf({"5", "7"}).has_malformed_limit);
}

TEST_CASE("a target shuts down if it says 1, and by no other value", "[platform]") {
  CHECK(readStatement(responseWith({{kServerLeaving, "1"}}).response).is_leaving);
  for (const auto* text : {"", "0", "true", "11"})
    CHECK_FALSE(readStatement(responseWith({{kServerLeaving, text}}).response).is_leaving);
}

TEST_CASE("responses of any status carry a statement, but those of another instance and broken ones do not",
          "[platform]") {
  const std::vector<std::pair<std::string, std::string>> fields{{kServerLimit, "3"}};
  for (const unsigned status : {200U, 404U, 500U})
    CHECK(readRunResult(responseWith(fields, status)).statement->rate_limit == 3.0);
  CHECK(readRunResult(responseWith({{kServerLimit, "3"}, {kNotExecuted, "1"}}, 503)).statement->rate_limit ==
        3.0);
  CHECK(readHealth(responseWith(fields, 503)).statement->rate_limit == 3.0);
  CHECK_FALSE(readRunResult(responseWith(fields, 421)).statement);
  web::SendResult broken;
  broken.outcome = web::SendOutcome::Broken;
  CHECK_FALSE(readRunResult(broken).statement);
}

TEST_CASE("callers get the target's statement with its response", "[platform]") {
  const auto answer = makeTargetAnswer(readRunResult(responseWith({{kServerLimit, "3"}})).reply);
  CHECK(answer[kServerLimit] == "3");
}

}  // namespace cometstand::platform

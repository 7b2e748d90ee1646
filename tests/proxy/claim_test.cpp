#include <catch2/catch.hpp>

#include "proxy/claim_messages.h"
#include "tests/proxy/data_path_driver.h"

namespace cometstand::proxy {
namespace {

using std::chrono::milliseconds;

DataPathDriver claimDriver() { return DataPathDriver({makeService("s", 2), makeRoute("s")}); }

wire::ClaimReplyT storeSays(wire::ClaimState state) {
  wire::ClaimReplyT reply;
  reply.outcome = wire::Outcome::Completed;
  reply.state = state;
  return reply;
}

FinalAnswer answerAfter(DataPathDriver& driver, const wire::ClaimReplyT& reply) {
  const auto id = driver.call("/s", "key");
  driver.path.onClaimReply(id, reply, driver.now);
  CHECK(driver.take<SendOrder>().empty());
  const auto answers = driver.take<AnswerOrder>();
  REQUIRE(answers.size() == 1);
  CHECK(driver.path.unsettled() == 0);
  return answers.front().answer;
}

TEST_CASE("a keyed request is sent only under a granted claim, whose end names the answer", "[claim]") {
  auto driver = claimDriver();
  const auto id = driver.call("/s", "key");
  const auto claims = driver.take<ClaimOrder>();
  REQUIRE(claims.size() == 1);
  CHECK(claims[0].claim.key == "key");
  CHECK(driver.take<SendOrder>().empty());
  CHECK_FALSE(driver.path.beginSending(id, 0));
  driver.path.onClaimReply(id, storeSays(wire::ClaimState::Granted), driver.now);
  const auto order = driver.take<SendOrder>().at(0);
  REQUIRE(driver.send(order));
  SECTION("completed") {
    driver.respond(order, makeResponse(201));
    const auto finish = driver.take<ClaimFinishOrder>().at(0).finish;
    CHECK(finish.end == wire::ClaimEnd::Completed);
    CHECK(finish.attempt == claims[0].claim.attempt);
    REQUIRE(finish.answer != nullptr);
    CHECK(finish.answer->status == 201);
  }
  SECTION("lost") {
    driver.fail(order, AttemptFailure::Aborted);
    CHECK(driver.take<ClaimFinishOrder>().at(0).finish.end == wire::ClaimEnd::Unknown);
  }
  SECTION("shed: the key stays usable") {
    driver.respond(order, notRunResponse("shed"));
    while (driver.path.unsettled() > 0 && driver.runTimer()) {
    }
    CHECK(driver.take<ClaimFinishOrder>().at(0).finish.end == wire::ClaimEnd::Released);
  }
  SECTION("a caller that goes away leaves the work and its record") {
    driver.path.onCallerGone(id, driver.now);
    CHECK(driver.take<CancelOrder>().empty());
    driver.respond(order, makeResponse(201));
    CHECK(driver.take<ClaimFinishOrder>().at(0).finish.end == wire::ClaimEnd::Completed);
  }
}

TEST_CASE("a completed claim replays the recorded answer", "[claim]") {
  auto driver = claimDriver();
  auto reply = storeSays(wire::ClaimState::Completed);
  reply.answer = std::make_shared<wire::RecordedAnswerT>();
  reply.answer->status = 201;
  reply.answer->body = {'o', 'k'};
  const auto answer = answerAfter(driver, reply);
  CHECK(answer.outcome == wire::Outcome::Completed);
  CHECK(answer.status == 201);
  CHECK(answer.response->body == "ok");
}

TEST_CASE("claims held, lost or mismatched are answered without running anything", "[claim]") {
  auto driver = claimDriver();
  const auto in_progress = answerAfter(driver, storeSays(wire::ClaimState::InProgress));
  CHECK(in_progress.outcome == wire::Outcome::Unknown);
  CHECK(in_progress.retry_after > Duration::zero());
  CHECK(answerAfter(driver, storeSays(wire::ClaimState::Unknown)).outcome == wire::Outcome::Unknown);
  CHECK(answerAfter(driver, storeSays(wire::ClaimState::Mismatch)).outcome == wire::Outcome::NotRun);
  CHECK(driver.take<ClaimFinishOrder>().empty());
}

TEST_CASE("without a quorum the request is not run, and the caller hears when to come back", "[claim]") {
  auto driver = claimDriver();
  wire::ClaimReplyT reply;
  reply.outcome = wire::Outcome::NotRun;
  reply.error = std::make_shared<wire::ErrorInfoT>();
  reply.error->retry_after_ms = 700;
  const auto answer = answerAfter(driver, reply);
  CHECK(answer.outcome == wire::Outcome::NotRun);
  CHECK(answer.retry_after >= milliseconds(700));
}

TEST_CASE("a claim whose reply is unknown is given back", "[claim]") {
  auto driver = claimDriver();
  wire::ClaimReplyT reply;
  reply.outcome = wire::Outcome::Unknown;
  CHECK(answerAfter(driver, reply).outcome == wire::Outcome::NotRun);
  CHECK(driver.take<ClaimFinishOrder>().at(0).finish.end == wire::ClaimEnd::Released);
}

TEST_CASE("a claim that is granted after the deadline is given back, and nothing is sent", "[claim]") {
  auto driver = claimDriver();
  const auto id = driver.call("/s", "key");
  driver.runTimer();
  CHECK(driver.take<AnswerOrder>().at(0).answer.outcome == wire::Outcome::NotRun);
  driver.path.onClaimReply(id, storeSays(wire::ClaimState::Granted), driver.now);
  CHECK(driver.take<SendOrder>().empty());
  CHECK(driver.take<ClaimFinishOrder>().at(0).finish.end == wire::ClaimEnd::Released);
}

TEST_CASE("the digest of a request covers what it asks for, without confusing the parts", "[claim]") {
  CallerRequest one;
  one.method = "POST";
  one.target = "/ab";
  one.body = "c";
  CallerRequest other = one;
  other.target = "/a";
  other.body = "bc";
  CHECK(requestDigest(one).low() == requestDigest(one).low());
  CHECK(requestDigest(one).low() != requestDigest(other).low());
}

}  // namespace
}  // namespace cometstand::proxy

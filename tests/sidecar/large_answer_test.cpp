// Large answers at the asker's side: collected by credit, broken off, given up.
#include "tests/sidecar/large_answer_fixture.h"

namespace cometstand::sidecar::test {

TEST_CASE_METHOD(LargeAnswerFixture, "a large answer is collected by credit and handed out whole",
                 "[sidecar]") {
  addPeer(kPeer);
  const auto id = call("/read/1");
  const auto sending = takeSending();
  beginAnswer(sending);
  CHECK_FALSE(callers.answers.contains(id));
  CHECK(core.answersArriving() == 1);
  sendRest(sending);
  CHECK(callers.answers.at(id).outcome == CallOutcome::Answered);
  CHECK(callers.answers.at(id).reply.body == makeBody(kLargeAnswer));
  CHECK(core.answersArriving() == 0);
  CHECK(core.callsInFlight() == 0);
}

TEST_CASE_METHOD(LargeAnswerFixture, "large answers together are granted a bounded number of bytes",
                 "[sidecar]") {
  addPeer(kPeer);
  for (int i = 0; i < 10; ++i) {
    call("/read/1");
    beginAnswer(takeSending());
  }
  CHECK(core.answersArriving() == 10);
  CHECK(takeGranted() <= 64 * 1024);
}

TEST_CASE_METHOD(LargeAnswerFixture, "the answer to a more urgent request is granted first", "[sidecar]") {
  addPeer(kPeer);
  call("/read/1");
  const auto read = takeSending();
  beginAnswer(read);
  const auto first_granted = takeGranted();
  call("/write/1");
  const auto write = takeSending();
  beginAnswer(write);
  CHECK(takeGranted() == 0);
  sent.clear();
  now += milliseconds(25);
  body_sent = kCredit;
  sendPart(read, first_granted);
  const auto granted = std::find_if(
      sent.begin(), sent.end(), [](const auto& item) { return item.message->body.AsBodyGrant() != nullptr; });
  REQUIRE(granted != sent.end());
  CHECK(granted->message->request_id == write.number);
}

TEST_CASE_METHOD(LargeAnswerFixture, "an answer that breaks off is never answered short", "[sidecar]") {
  addPeers();
  const bool is_repeatable = GENERATE(false, true);
  const auto id = call(is_repeatable ? "/read/1" : "/write/1");
  const auto sending = takeSending();
  beginAnswer(sending);
  const auto granted = takeGranted();
  const int way = GENERATE(0, 1, 2);
  if (way == 0) {
    sendPart(sending, 0, wire::BodyEnd::Broken);
  } else if (way == 1) {
    core.onLinkClosed(links.at(sending.peer), now);
    step();
  } else {
    // More than was granted.
    sendPart(sending, granted + 1, wire::BodyEnd::Whole);
  }
  CHECK(core.answersArriving() == 0);
  if (!is_repeatable) {
    CHECK(callers.answers.at(id).outcome == CallOutcome::Failed);
    return;
  }
  // Nothing has gone to the caller, so another endpoint is asked.
  const auto again = takeSending();
  CHECK(again.number != 0);
  CHECK(again.peer != sending.peer);
  CHECK_FALSE(callers.answers.contains(id));
  beginAnswer(again);
  sendRest(again);
  CHECK(callers.answers.at(id).reply.body == makeBody(kLargeAnswer));
}

TEST_CASE_METHOD(LargeAnswerFixture, "an answer that is not whole at the deadline is given up", "[sidecar]") {
  addPeer(kPeer);
  const auto id = call("/read/1");
  const auto sending = takeSending();
  beginAnswer(sending);
  sendPart(sending, 8'000);
  pass(std::chrono::seconds(2));
  CHECK(callers.answers.at(id).outcome == CallOutcome::TimedOut);
  CHECK(count(wire::Body::ForwardCancel) == 1);
  CHECK(core.answersArriving() == 0);
}

TEST_CASE_METHOD(LargeAnswerFixture, "a caller who leaves gives up the answer on its way", "[sidecar]") {
  addPeer(kPeer);
  const auto id = call("/read/1");
  const auto sending = takeSending();
  beginAnswer(sending);
  core.onCallerGone(id, now);
  step();
  CHECK(count(wire::Body::ForwardCancel) == 1);
  CHECK(core.answersArriving() == 0);
  // What was under way then is thrown away.
  sendPart(sending, 8'000, wire::BodyEnd::Whole);
  CHECK(callers.answers.empty());
}

TEST_CASE_METHOD(LargeAnswerFixture, "an endpoint that stalls does not hold up other answers", "[sidecar]") {
  addPeer(kPeer);
  call("/read/1");
  beginAnswer(takeSending());
  CHECK(takeGranted() > 0);
  const auto id = call("/read/2");
  const auto sending = takeSending();
  beginAnswer(sending);
  CHECK(takeGranted() == 0);
  pass(milliseconds(450));
  sendRest(sending);
  CHECK(callers.answers.at(id).outcome == CallOutcome::Answered);
}

TEST_CASE_METHOD(LargeAnswerFixture, "a planned stop of the asker waits for the answers that come",
                 "[sidecar]") {
  addPeer(kPeer);
  // Its caller waits for longer than the stop lasts at least.
  auto configuration = makeConfiguration();
  for (auto& route : configuration.routes) route->timeout_ms = 10'000;
  configure(2, configuration);
  const auto id = call("/read/1");
  const auto sending = takeSending();
  beginAnswer(sending);
  core.beginStop(now);
  pass(milliseconds(2'500));
  CHECK_FALSE(core.stopped());
  sendRest(sending);
  CHECK(callers.answers.at(id).outcome == CallOutcome::Answered);
  pass(milliseconds(100));
  CHECK(core.stopped());
}

// Gates behind full links reached the limit of their planned stops with answers that their askers granted in
// turn.
TEST_CASE_METHOD(LargeAnswerFixture, "an answer of an endpoint that leaves is granted at once", "[sidecar]") {
  addPeer(kPeer);
  call("/read/1");
  const auto sending = takeSending();
  const bool left_before = GENERATE(false, true);
  if (left_before) addPeer(kPeer, wire::EndpointState::Leaving);
  beginAnswer(sending);
  if (!left_before) {
    CHECK(takeGranted() < 64 * 1024);
    addPeer(kPeer, wire::EndpointState::Leaving);
  }
  CHECK(takeGranted() > 500 * 1024);
}

}  // namespace cometstand::sidecar::test

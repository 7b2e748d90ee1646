// Large responses in the requesting sidecar: collection by credit, incomplete responses, cancellation.
#include "tests/sidecar/large_answer_fixture.h"

namespace cometstand::sidecar::test {

TEST_CASE_METHOD(LargeAnswerFixture, "a large response is collected by credit and delivered completely",
                 "[sidecar]") {
  addPeer(kPeer);
  const auto id = call("/read/1");
  const auto attempt = takeAttempt();
  beginResponse(attempt);
  CHECK_FALSE(callers.answers.contains(id));
  CHECK(core.largeAnswersInFlight() == 1);
  sendRemainder(attempt);
  CHECK(callers.answers.at(id).outcome == CallOutcome::Answered);
  CHECK(callers.answers.at(id).reply.body == makeBody(kLargeResponseBytes));
  CHECK(core.largeAnswersInFlight() == 0);
  CHECK(core.callsInFlight() == 0);
}

TEST_CASE_METHOD(LargeAnswerFixture, "the total credit granted to several large responses is bounded",
                 "[sidecar]") {
  addPeer(kPeer);
  for (int i = 0; i < 10; ++i) {
    call("/read/1");
    beginResponse(takeAttempt());
  }
  CHECK(core.largeAnswersInFlight() == 10);
  CHECK(takeGranted() <= 64 * 1024);
}

TEST_CASE_METHOD(LargeAnswerFixture, "the response to a request of higher priority is granted first",
                 "[sidecar]") {
  addPeer(kPeer);
  call("/read/1");
  const auto read = takeAttempt();
  beginResponse(read);
  const auto first_granted = takeGranted();
  call("/write/1");
  const auto write = takeAttempt();
  beginResponse(write);
  CHECK(takeGranted() == 0);
  sent.clear();
  now += milliseconds(25);
  sent_body_bytes = kInitialCreditBytes;
  sendPart(read, first_granted);
  const auto granted = std::find_if(
      sent.begin(), sent.end(), [](const auto& item) { return item.message->body.AsBodyGrant() != nullptr; });
  REQUIRE(granted != sent.end());
  CHECK(granted->message->request_id == write.number);
}

TEST_CASE_METHOD(LargeAnswerFixture, "an incomplete response is never delivered as complete", "[sidecar]") {
  addPeers();
  const bool is_repeatable = GENERATE(false, true);
  const auto id = call(is_repeatable ? "/read/1" : "/write/1");
  const auto attempt = takeAttempt();
  beginResponse(attempt);
  const auto granted = takeGranted();
  const int failure = GENERATE(0, 1, 2);
  if (failure == 0) {
    sendPart(attempt, 0, wire::BodyEnd::Broken);
  } else if (failure == 1) {
    core.onLinkClosed(links.at(attempt.peer), now);
    step();
  } else {
    // More than was granted.
    sendPart(attempt, granted + 1, wire::BodyEnd::Whole);
  }
  CHECK(core.largeAnswersInFlight() == 0);
  if (!is_repeatable) {
    CHECK(callers.answers.at(id).outcome == CallOutcome::Failed);
    return;
  }
  // The caller has received nothing, so the request is retried on another endpoint.
  const auto retry = takeAttempt();
  CHECK(retry.number != 0);
  CHECK(retry.peer != attempt.peer);
  CHECK_FALSE(callers.answers.contains(id));
  beginResponse(retry);
  sendRemainder(retry);
  CHECK(callers.answers.at(id).reply.body == makeBody(kLargeResponseBytes));
}

TEST_CASE_METHOD(LargeAnswerFixture, "a response that is incomplete at the deadline is cancelled",
                 "[sidecar]") {
  addPeer(kPeer);
  const auto id = call("/read/1");
  const auto attempt = takeAttempt();
  beginResponse(attempt);
  sendPart(attempt, 8'000);
  advance(std::chrono::seconds(2));
  CHECK(callers.answers.at(id).outcome == CallOutcome::TimedOut);
  CHECK(count(wire::Body::ForwardCancel) == 1);
  CHECK(core.largeAnswersInFlight() == 0);
}

TEST_CASE_METHOD(LargeAnswerFixture, "the response in transfer is cancelled when its caller disconnects",
                 "[sidecar]") {
  addPeer(kPeer);
  const auto id = call("/read/1");
  const auto attempt = takeAttempt();
  beginResponse(attempt);
  core.onCallerGone(id, now);
  step();
  CHECK(count(wire::Body::ForwardCancel) == 1);
  CHECK(core.largeAnswersInFlight() == 0);
  // Parts that were in flight are discarded.
  sendPart(attempt, 8'000, wire::BodyEnd::Whole);
  CHECK(callers.answers.empty());
}

TEST_CASE_METHOD(LargeAnswerFixture, "a stalled endpoint does not delay the responses of others",
                 "[sidecar]") {
  addPeer(kPeer);
  call("/read/1");
  beginResponse(takeAttempt());
  CHECK(takeGranted() > 0);
  const auto id = call("/read/2");
  const auto attempt = takeAttempt();
  beginResponse(attempt);
  CHECK(takeGranted() == 0);
  advance(milliseconds(450));
  sendRemainder(attempt);
  CHECK(callers.answers.at(id).outcome == CallOutcome::Answered);
}

TEST_CASE_METHOD(LargeAnswerFixture,
                 "a planned stop of the requesting sidecar waits for the responses in transfer",
                 "[sidecar]") {
  addPeer(kPeer);
  // The timeout of the caller exceeds the minimum duration of the stop.
  auto configuration = makeConfiguration();
  for (auto& route : configuration.routes) route->timeout_ms = 10'000;
  configure(2, configuration);
  const auto id = call("/read/1");
  const auto attempt = takeAttempt();
  beginResponse(attempt);
  core.beginStop(now);
  advance(milliseconds(2'500));
  CHECK_FALSE(core.stopped());
  sendRemainder(attempt);
  CHECK(callers.answers.at(id).outcome == CallOutcome::Answered);
  advance(milliseconds(100));
  CHECK(core.stopped());
}

// Sidecars behind full links reached the time limit of their planned stops while their requesters granted the
// remaining responses one after another.
TEST_CASE_METHOD(LargeAnswerFixture, "the response of a leaving endpoint is granted at once", "[sidecar]") {
  addPeer(kPeer);
  call("/read/1");
  const auto attempt = takeAttempt();
  const bool leaves_first = GENERATE(false, true);
  if (leaves_first) addPeer(kPeer, wire::EndpointState::Leaving);
  beginResponse(attempt);
  if (!leaves_first) {
    CHECK(takeGranted() < 64 * 1024);
    addPeer(kPeer, wire::EndpointState::Leaving);
  }
  CHECK(takeGranted() > 500 * 1024);
}

}  // namespace cometstand::sidecar::test

// Large responses in the sidecar of the target: sending by credit, cancellation, admission limits.
#include "tests/sidecar/large_answer_fixture.h"

namespace cometstand::sidecar::test {

TEST_CASE_METHOD(LargeAnswerFixture, "a large response is sent only as far as it is granted", "[sidecar]") {
  startTarget();
  receiveRequest(7);
  finishRun();
  CHECK(responseTo(7).body == makeBody(kInitialCreditBytes));
  CHECK(responseTo(7).body_follows);
  CHECK(core.answers().heldBytes() == kLargeResponseBytes);
  grant(7, 10'000);
  CHECK(responseTo(7).body.size() == kInitialCreditBytes + 10'000);
  CHECK(responseTo(7).end == wire::BodyEnd::Open);
  grant(7, kLargeResponseBytes);
  CHECK(responseTo(7).body == makeBody(kLargeResponseBytes));
  CHECK(responseTo(7).end == wire::BodyEnd::Whole);
  CHECK(core.answers().size() == 0);
  CHECK(core.answers().heldBytes() == 0);
}

TEST_CASE_METHOD(LargeAnswerFixture,
                 "a small response, and one to a requester without credit, is sent in one message",
                 "[sidecar]") {
  startTarget();
  const bool has_credit = GENERATE(false, true);
  const std::size_t bytes = has_credit ? kInitialCreditBytes : kLargeResponseBytes;
  receiveRequest(7, has_credit ? kInitialCreditBytes : 0);
  finishRun(bytes);
  CHECK(responseTo(7).body.size() == bytes);
  CHECK_FALSE(responseTo(7).body_follows);
  CHECK(core.answers().size() == 0);
}

TEST_CASE_METHOD(LargeAnswerFixture, "a response is freed when its requester cancels or disconnects",
                 "[sidecar]") {
  startTarget();
  receiveRequest(7);
  finishRun();
  const bool link_ends = GENERATE(false, true);
  if (link_ends) {
    core.onLinkClosed(kIncoming, now);
  } else {
    receiveIncoming(wire::ForwardCancelT(), 7);
  }
  CHECK(core.answers().heldBytes() == 0);
  grant(7, 10'000);
  CHECK(responseTo(7).body.size() == kInitialCreditBytes);
}

TEST_CASE_METHOD(LargeAnswerFixture, "a response that is not granted before its deadline is aborted",
                 "[sidecar]") {
  startTarget();
  receiveRequest(7);
  finishRun();
  advance(milliseconds(2'100));
  CHECK(responseTo(7).end == wire::BodyEnd::Open);
  advance(milliseconds(200));
  CHECK(responseTo(7).end == wire::BodyEnd::Broken);
  CHECK(core.answers().heldBytes() == 0);
}

TEST_CASE_METHOD(LargeAnswerFixture,
                 "requests of other sidecars are refused while slow readers hold the response memory",
                 "[sidecar]") {
  startTarget();
  constexpr std::uint64_t kResponses = ResponseTransfers::kMaxHeldBytes / kLargeResponseBytes + 1;
  for (std::uint64_t number = 1; number <= kResponses; ++number) {
    receiveRequest(number);
    finishRun();
  }
  CHECK(target.orders.size() == kResponses);
  receiveRequest(1'000);
  CHECK(target.orders.size() == kResponses);
  CHECK(responseTo(1'000).reason == wire::NotRunReason::Full);
  receiveIncoming(wire::ForwardCancelT(), 1);
  receiveRequest(1'001);
  CHECK(target.orders.size() == kResponses + 1);
}

TEST_CASE_METHOD(LargeAnswerFixture,
                 "a planned stop of the serving sidecar waits for the responses in transfer", "[sidecar]") {
  startTarget();
  receiveRequest(7, kInitialCreditBytes, 5'000);
  finishRun();
  core.beginStop(now);
  advance(milliseconds(2'500));
  CHECK_FALSE(core.stopped());
  grant(7, kLargeResponseBytes);
  CHECK(responseTo(7).body == makeBody(kLargeResponseBytes));
  advance(milliseconds(100));
  CHECK(core.stopped());
}

TEST_CASE_METHOD(LargeAnswerFixture, "the response of a target that is leaving is still sent", "[sidecar]") {
  startTarget();
  receiveRequest(7);
  finishRun();
  core.onHeartbeat(makeHeartbeat("a", ++heartbeats, false), now);
  advance(milliseconds(500));
  receiveRequest(8);
  CHECK(responseTo(8).reason == wire::NotRunReason::Leaving);
  grant(7, kLargeResponseBytes);
  CHECK(responseTo(7).body == makeBody(kLargeResponseBytes));
  CHECK(responseTo(7).end == wire::BodyEnd::Whole);
}

TEST_CASE_METHOD(LargeAnswerFixture,
                 "no request with a large response is admitted while held responses wait for seconds",
                 "[sidecar]") {
  constexpr unsigned kSlots = 50;
  constexpr std::uint64_t kResponses = 30;
  startTarget(kSlots);
  const auto receive_request = [this](std::uint64_t number, std::uint32_t answer_bytes) {
    wire::ForwardRequestT request;
    request.service = "shop";
    request.request_id = "in" + std::to_string(number);
    request.deadline_ms = 9'000;
    request.patience_ms = 200;
    request.objective_ms = 500;
    request.answer_credit = kInitialCreditBytes;
    request.answer_bytes = answer_bytes;
    receiveIncoming(std::move(request), number);
  };
  for (std::uint64_t number = 1; number <= kResponses; ++number) {
    receive_request(number, kLargeResponseBytes);
    finishRun();
  }
  // The link sends the parts one after another, 8,192 bytes in 7 ms: 1.17 MB/s.
  CHECK(core.answers().expectedWait(now) == Duration::zero());
  constexpr std::uint64_t kParts = 150;
  for (std::uint64_t part = 0; part < kParts; ++part) {
    now += milliseconds(7);
    grant(1 + part % kResponses, 8'192);
  }
  const auto wait = core.answers().expectedWait(now);
  const auto held = core.answers().heldBytes() - (kResponses + kParts) * 8'192;
  CHECK(wait > milliseconds(held / 1'300));
  CHECK(wait < milliseconds(held / 1'000));

  receiveRequest(100);
  CHECK(responseTo(100).reason == wire::NotRunReason::None);
  for (std::uint64_t number = 101; core.answers().expectedWait(now) < ResponseTransfers::kMaxExpectedWait;
       ++number) {
    receive_request(number, kLargeResponseBytes);
    finishRun();
  }
  receive_request(200, kLargeResponseBytes);
  CHECK(responseTo(200).reason == wire::NotRunReason::Full);
  receive_request(201, 400);
  CHECK(responseTo(201).reason == wire::NotRunReason::None);

  // There are free slots, but at the rate above the link needs 80 ms for one response of this size.
  CHECK(responseTo(200).retry_after_ms >= kLargeResponseBytes / 1'300);

  // Stalled transfers, whose requesters have granted nothing for 1.6 s, do not count.
  now += milliseconds(1'600);
  CHECK(core.answers().expectedWait(now) == Duration::zero());
  receive_request(202, kLargeResponseBytes);
  CHECK(responseTo(202).reason == wire::NotRunReason::None);
}

}  // namespace cometstand::sidecar::test

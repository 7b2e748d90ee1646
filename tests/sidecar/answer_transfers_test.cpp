// Large answers at the gate's side: sent as they are granted, given up, held back.
#include "tests/sidecar/large_answer_fixture.h"

namespace cometstand::sidecar::test {

TEST_CASE_METHOD(LargeAnswerFixture, "the gate sends a large answer only as it is granted", "[sidecar]") {
  startTarget();
  ask(7);
  finishRun();
  CHECK(seen(7).body == makeBody(kCredit));
  CHECK(seen(7).body_follows);
  CHECK(core.answers().heldBytes() == kLargeAnswer);
  grant(7, 10'000);
  CHECK(seen(7).body.size() == kCredit + 10'000);
  CHECK(seen(7).end == wire::BodyEnd::Open);
  grant(7, kLargeAnswer);
  CHECK(seen(7).body == makeBody(kLargeAnswer));
  CHECK(seen(7).end == wire::BodyEnd::Whole);
  CHECK(core.answers().size() == 0);
  CHECK(core.answers().heldBytes() == 0);
}

TEST_CASE_METHOD(LargeAnswerFixture,
                 "a small answer, and one to an asker without credit, goes in one message", "[sidecar]") {
  startTarget();
  const bool has_credit = GENERATE(false, true);
  const std::size_t bytes = has_credit ? kCredit : kLargeAnswer;
  ask(7, has_credit ? kCredit : 0);
  finishRun(bytes);
  CHECK(seen(7).body.size() == bytes);
  CHECK_FALSE(seen(7).body_follows);
  CHECK(core.answers().size() == 0);
}

TEST_CASE_METHOD(LargeAnswerFixture, "the gate frees an answer whose asker leaves", "[sidecar]") {
  startTarget();
  ask(7);
  finishRun();
  const bool link_ends = GENERATE(false, true);
  if (link_ends) {
    core.onLinkClosed(kIncoming, now);
  } else {
    sayIncoming(wire::ForwardCancelT(), 7);
  }
  CHECK(core.answers().heldBytes() == 0);
  grant(7, 10'000);
  CHECK(seen(7).body.size() == kCredit);
}

TEST_CASE_METHOD(LargeAnswerFixture, "the gate breaks an answer off that nobody grants in time",
                 "[sidecar]") {
  startTarget();
  ask(7);
  finishRun();
  pass(milliseconds(2'100));
  CHECK(seen(7).end == wire::BodyEnd::Open);
  pass(milliseconds(200));
  CHECK(seen(7).end == wire::BodyEnd::Broken);
  CHECK(core.answers().heldBytes() == 0);
}

TEST_CASE_METHOD(LargeAnswerFixture, "the gate runs no more for others while slow readers hold its memory",
                 "[sidecar]") {
  startTarget();
  constexpr std::uint64_t kAnswers = AnswerTransfers::kMostHeldBytes / kLargeAnswer + 1;
  for (std::uint64_t number = 1; number <= kAnswers; ++number) {
    ask(number);
    finishRun();
  }
  CHECK(target.orders.size() == kAnswers);
  ask(1'000);
  CHECK(target.orders.size() == kAnswers);
  CHECK(seen(1'000).reason == wire::NotRunReason::Full);
  sayIncoming(wire::ForwardCancelT(), 1);
  ask(1'001);
  CHECK(target.orders.size() == kAnswers + 1);
}

TEST_CASE_METHOD(LargeAnswerFixture, "a planned stop of the gate waits for the answers that leave",
                 "[sidecar]") {
  startTarget();
  ask(7, kCredit, 5'000);
  finishRun();
  core.beginStop(now);
  pass(milliseconds(2'500));
  CHECK_FALSE(core.stopped());
  grant(7, kLargeAnswer);
  CHECK(seen(7).body == makeBody(kLargeAnswer));
  pass(milliseconds(100));
  CHECK(core.stopped());
}

TEST_CASE_METHOD(LargeAnswerFixture, "the answer of a target that leaves still passes", "[sidecar]") {
  startTarget();
  ask(7);
  finishRun();
  core.onHeartbeat(makeBeat("a", ++beats, false), now);
  pass(milliseconds(500));
  ask(8);
  CHECK(seen(8).reason == wire::NotRunReason::Leaving);
  grant(7, kLargeAnswer);
  CHECK(seen(7).body == makeBody(kLargeAnswer));
  CHECK(seen(7).end == wire::BodyEnd::Whole);
}

TEST_CASE_METHOD(LargeAnswerFixture, "a gate whose answers wait for seconds takes no further large ones",
                 "[sidecar]") {
  constexpr unsigned kSlots = 50;
  constexpr std::uint64_t kAnswers = 30;
  startTarget(kSlots);
  const auto ask_for = [this](std::uint64_t number, std::uint32_t answer_bytes) {
    wire::ForwardRequestT request;
    request.service = "shop";
    request.request_id = "in" + std::to_string(number);
    request.deadline_ms = 9'000;
    request.patience_ms = 200;
    request.objective_ms = 500;
    request.answer_credit = kCredit;
    request.answer_bytes = answer_bytes;
    sayIncoming(std::move(request), number);
  };
  for (std::uint64_t number = 1; number <= kAnswers; ++number) {
    ask_for(number, kLargeAnswer);
    finishRun();
  }
  // The link sends one part of an answer after the other, 8,192 bytes in 7 ms: 1.17 MB/s.
  CHECK(core.answers().expectedWait(now) == Duration::zero());
  constexpr std::uint64_t kParts = 150;
  for (std::uint64_t part = 0; part < kParts; ++part) {
    now += milliseconds(7);
    grant(1 + part % kAnswers, 8'192);
  }
  const auto wait = core.answers().expectedWait(now);
  const auto held = core.answers().heldBytes() - (kAnswers + kParts) * 8'192;
  CHECK(wait > milliseconds(held / 1'300));
  CHECK(wait < milliseconds(held / 1'000));

  ask(100);
  CHECK(seen(100).reason == wire::NotRunReason::None);
  for (std::uint64_t number = 101; core.answers().expectedWait(now) < AnswerTransfers::kMostWait; ++number) {
    ask_for(number, kLargeAnswer);
    finishRun();
  }
  ask_for(200, kLargeAnswer);
  CHECK(seen(200).reason == wire::NotRunReason::Full);
  ask_for(201, 400);
  CHECK(seen(201).reason == wire::NotRunReason::None);

  // There are free slots, but the link needs 80 ms for one answer of this size, at the rate above.
  CHECK(seen(200).retry_after_ms >= kLargeAnswer / 1'300);

  // Askers that have granted nothing for long hold nobody up.
  now += milliseconds(1'600);
  CHECK(core.answers().expectedWait(now) == Duration::zero());
  ask_for(202, kLargeAnswer);
  CHECK(seen(202).reason == wire::NotRunReason::None);
}

}  // namespace cometstand::sidecar::test

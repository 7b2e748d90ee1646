// Large answers between two sidecars: sent in parts as they are granted, broken off, given up, held back.
#include <numeric>

#include "tests/sidecar/sidecar_fixture.h"

namespace cometstand::sidecar::test {
namespace {

constexpr std::size_t kLargeAnswer = 90'000;
constexpr std::uint32_t kCredit = 8'192;
/// A link that another sidecar opened.
constexpr runtime::LinkId kIncoming{runtime::kFirstIncomingLink};

std::vector<std::uint8_t> makeBody(std::size_t bytes) {
  std::vector<std::uint8_t> body(bytes);
  std::iota(body.begin(), body.end(), std::uint8_t{0});
  return body;
}

struct LargeAnswerFixture : SidecarFixture {
  LargeAnswerFixture() : SidecarFixture(makeStreamingOptions()) { configure(); }

  static SidecarOptions makeStreamingOptions() {
    auto options = makeOptions();
    options.answer_credit = kCredit;
    return options;
  }

  template <typename Message>
  void sayIncoming(Message message, std::uint64_t number) {
    core.onMessage(kIncoming, runtime::makeEnvelope(std::move(message), number), now);
    step();
  }

  std::size_t count(wire::Body type) const {
    return static_cast<std::size_t>(std::count_if(
        sent.begin(), sent.end(), [type](const auto& item) { return item.message->body.type == type; }));
  }

  /// @return the bytes granted since the last look.
  std::uint32_t takeGranted() {
    std::uint32_t bytes = 0;
    std::erase_if(sent, [&bytes](const auto& item) {
      const auto* grant = item.message->body.AsBodyGrant();
      if (grant != nullptr) bytes += grant->bytes;
      return grant != nullptr;
    });
    return bytes;
  }

  // ---- The asker's side: the endpoints are played by the test.

  void addPeers() {
    addPeer(kPeer);
    addPeer(kOtherPeer);
  }

  struct Sending {
    runtime::Address peer;
    std::uint64_t number = 0;
  };

  Sending takeSending() {
    for (const auto& peer : {kPeer, kOtherPeer}) {
      if (!links.contains(peer)) continue;
      const auto numbers = forwardsTo(peer);
      if (!numbers.empty()) return {peer, numbers.front()};
    }
    return {};
  }

  void beginAnswer(const Sending& sending) {
    wire::ForwardReplyT head;
    head.outcome = wire::ForwardOutcome::Answered;
    head.status = 200;
    head.body_follows = true;
    head.body = makeBody(kCredit);
    body_sent = kCredit;
    say(sending.peer, head, sending.number);
  }

  void sendPart(const Sending& sending, std::size_t bytes, wire::BodyEnd end = wire::BodyEnd::Open) {
    const auto body = makeBody(kLargeAnswer);
    wire::BodyPartT part;
    const auto begin = body.begin() + static_cast<std::ptrdiff_t>(body_sent);
    part.bytes.assign(begin, begin + static_cast<std::ptrdiff_t>(bytes));
    part.end = end;
    body_sent += bytes;
    say(sending.peer, std::move(part), sending.number);
  }

  /// The endpoint sends as it is granted until the answer is whole.
  void sendRest(const Sending& sending) {
    while (body_sent < kLargeAnswer) {
      const std::size_t bytes = std::min<std::size_t>(takeGranted(), kLargeAnswer - body_sent);
      REQUIRE(bytes > 0);
      now += milliseconds(5);
      const bool is_last = body_sent + bytes == kLargeAnswer;
      sendPart(sending, bytes, is_last ? wire::BodyEnd::Whole : wire::BodyEnd::Open);
    }
  }

  // ---- The gate's side: the asker is played by the test.

  void startTarget(unsigned slots = 2) {
    auto beat = makeBeat("a", ++beats);
    beat.slots = slots;
    core.onHeartbeat(beat, now);
    step();
  }

  void ask(std::uint64_t number, std::uint32_t credit = kCredit, std::uint32_t deadline_ms = 2'000) {
    wire::ForwardRequestT request;
    request.service = "shop";
    request.request_id = "in" + std::to_string(number);
    request.deadline_ms = deadline_ms;
    request.patience_ms = 200;
    request.objective_ms = 500;
    request.answer_credit = credit;
    sayIncoming(std::move(request), number);
  }

  void finishRun(std::size_t bytes = kLargeAnswer) {
    RunResult result;
    result.reply.outcome = wire::ForwardOutcome::Answered;
    result.reply.status = 200;
    result.reply.body = makeBody(bytes);
    core.onRunResult(target.orders.back().id, std::move(result), now);
    step();
  }

  void grant(std::uint64_t number, std::uint32_t bytes) {
    wire::BodyGrantT message;
    message.bytes = bytes;
    sayIncoming(message, number);
  }

  struct Seen {
    std::vector<std::uint8_t> body;
    wire::BodyEnd end = wire::BodyEnd::Open;
    wire::NotRunReason reason = wire::NotRunReason::None;
    bool body_follows = false;
  };

  /// @return what the asker has seen of the answer so far.
  Seen seen(std::uint64_t number) const {
    Seen answer;
    for (const auto& item : sent) {
      if (item.link != kIncoming || item.message->request_id != number) continue;
      if (const auto* reply = item.message->body.AsForwardReply()) {
        answer.body = reply->body;
        answer.body_follows = reply->body_follows;
        answer.reason = reply->reason;
      } else if (const auto* part = item.message->body.AsBodyPart()) {
        answer.body.insert(answer.body.end(), part->bytes.begin(), part->bytes.end());
        answer.end = part->end;
      }
    }
    return answer;
  }

  std::size_t body_sent = 0;
  std::uint64_t beats = 0;
};

}  // namespace

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

}  // namespace cometstand::sidecar::test

#pragma once

#include <numeric>

#include "tests/sidecar/sidecar_fixture.h"

namespace cometstand::sidecar::test {

inline constexpr std::size_t kLargeAnswer = 90'000;
inline constexpr std::uint32_t kCredit = 8'192;
/// A link that another sidecar opened.
inline constexpr runtime::LinkId kIncoming{runtime::kFirstIncomingLink};

inline std::vector<std::uint8_t> makeBody(std::size_t bytes) {
  std::vector<std::uint8_t> body(bytes);
  std::iota(body.begin(), body.end(), std::uint8_t{0});
  return body;
}

/// One sidecar that asks for large answers, or sends them.
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
    std::uint32_t retry_after_ms = 0;
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
        answer.retry_after_ms = reply->retry_after_ms;
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

}  // namespace cometstand::sidecar::test

#pragma once

#include <numeric>

#include "tests/sidecar/sidecar_fixture.h"

namespace cometstand::sidecar::test {

inline constexpr std::size_t kLargeResponseBytes = 90'000;
inline constexpr std::uint32_t kInitialCreditBytes = 8'192;
/// A link that another sidecar opened.
inline constexpr runtime::LinkId kIncoming{runtime::kFirstIncomingLink};

inline std::vector<std::uint8_t> makeBody(std::size_t bytes) {
  std::vector<std::uint8_t> body(bytes);
  std::iota(body.begin(), body.end(), std::uint8_t{0});
  return body;
}

/// One sidecar that requests large responses or sends them.
struct LargeAnswerFixture : SidecarFixture {
  LargeAnswerFixture() : SidecarFixture(makeStreamingOptions()) { configure(); }

  static SidecarOptions makeStreamingOptions() {
    auto options = makeOptions();
    options.answer_credit = kInitialCreditBytes;
    return options;
  }

  template <typename Message>
  void receiveIncoming(Message message, std::uint64_t number) {
    core.onMessage(kIncoming, runtime::makeEnvelope(std::move(message), number), now);
    step();
  }

  std::size_t count(wire::Body type) const {
    return static_cast<std::size_t>(std::count_if(
        sent.begin(), sent.end(), [type](const auto& item) { return item.message->body.type == type; }));
  }

  /// @return the bytes granted since the last call.
  std::uint32_t takeGranted() {
    std::uint32_t bytes = 0;
    std::erase_if(sent, [&bytes](const auto& item) {
      const auto* grant = item.message->body.AsBodyGrant();
      if (grant != nullptr) bytes += grant->bytes;
      return grant != nullptr;
    });
    return bytes;
  }

  // ---- The sidecar is the requester; the test simulates the endpoints.

  void addPeers() {
    addPeer(kPeer);
    addPeer(kOtherPeer);
  }

  struct Attempt {
    runtime::Address peer;
    std::uint64_t number = 0;
  };

  Attempt takeAttempt() {
    for (const auto& peer : {kPeer, kOtherPeer}) {
      if (!links.contains(peer)) continue;
      const auto numbers = forwardsTo(peer);
      if (!numbers.empty()) return {peer, numbers.front()};
    }
    return {};
  }

  void beginResponse(const Attempt& attempt) {
    wire::ForwardReplyT head;
    head.outcome = wire::ForwardOutcome::Answered;
    head.status = 200;
    head.body_follows = true;
    head.body = makeBody(kInitialCreditBytes);
    sent_body_bytes = kInitialCreditBytes;
    deliver(attempt.peer, head, attempt.number);
  }

  void sendPart(const Attempt& attempt, std::size_t bytes, wire::BodyEnd end = wire::BodyEnd::Open) {
    const auto body = makeBody(kLargeResponseBytes);
    wire::BodyPartT part;
    const auto begin = body.begin() + static_cast<std::ptrdiff_t>(sent_body_bytes);
    part.bytes.assign(begin, begin + static_cast<std::ptrdiff_t>(bytes));
    part.end = end;
    sent_body_bytes += bytes;
    deliver(attempt.peer, std::move(part), attempt.number);
  }

  /// Sends the granted bytes from the endpoint until the response is complete.
  void sendRemainder(const Attempt& attempt) {
    while (sent_body_bytes < kLargeResponseBytes) {
      const std::size_t bytes = std::min<std::size_t>(takeGranted(), kLargeResponseBytes - sent_body_bytes);
      REQUIRE(bytes > 0);
      now += milliseconds(5);
      const bool is_last = sent_body_bytes + bytes == kLargeResponseBytes;
      sendPart(attempt, bytes, is_last ? wire::BodyEnd::Whole : wire::BodyEnd::Open);
    }
  }

  // ---- The sidecar serves the target; the test simulates the requester.

  void startTarget(unsigned slots = 2) {
    auto heartbeat = makeHeartbeat("a", ++heartbeats);
    heartbeat.slots = slots;
    core.onHeartbeat(heartbeat, now);
    step();
  }

  void receiveRequest(std::uint64_t number, std::uint32_t credit = kInitialCreditBytes,
                      std::uint32_t deadline_ms = 2'000) {
    wire::ForwardRequestT request;
    request.service = "shop";
    request.request_id = "in" + std::to_string(number);
    request.deadline_ms = deadline_ms;
    request.patience_ms = 200;
    request.objective_ms = 500;
    request.answer_credit = credit;
    receiveIncoming(std::move(request), number);
  }

  void finishRun(std::size_t bytes = kLargeResponseBytes) {
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
    receiveIncoming(message, number);
  }

  struct ReceivedResponse {
    std::vector<std::uint8_t> body;
    wire::BodyEnd end = wire::BodyEnd::Open;
    wire::NotRunReason reason = wire::NotRunReason::None;
    bool body_follows = false;
    std::uint32_t retry_after_ms = 0;
  };

  /// @return what the requester has received of the response so far.
  ReceivedResponse responseTo(std::uint64_t number) const {
    ReceivedResponse response;
    for (const auto& item : sent) {
      if (item.link != kIncoming || item.message->request_id != number) continue;
      if (const auto* reply = item.message->body.AsForwardReply()) {
        response.body = reply->body;
        response.body_follows = reply->body_follows;
        response.reason = reply->reason;
        response.retry_after_ms = reply->retry_after_ms;
      } else if (const auto* part = item.message->body.AsBodyPart()) {
        response.body.insert(response.body.end(), part->bytes.begin(), part->bytes.end());
        response.end = part->end;
      }
    }
    return response;
  }

  std::size_t sent_body_bytes = 0;
  std::uint64_t heartbeats = 0;
};

}  // namespace cometstand::sidecar::test

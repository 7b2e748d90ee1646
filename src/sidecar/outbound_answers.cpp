#include <utility>

#include "sidecar/outbound_calls.h"

/// How large answers to callers' requests come: in parts, as they are granted.
namespace cometstand::sidecar {

using runtime::Address;

void OutboundCalls::grantAnswer(std::uint64_t sending, const wire::BodyGrantT& grant) {
  const auto sent = sent_.find(sending);
  if (sent == sent_.end()) return;
  const auto& call = calls_.at(sent->second);
  const auto link = call.at ? parts_.peers.linkTo(*call.at) : std::nullopt;
  if (link) parts_.actions.send(*link, grant, sending);
}

void OutboundCalls::onAnswerPart(const Address& from, std::uint64_t request_id, const wire::BodyPartT& part,
                                 TimePoint now) {
  const auto sent = sent_.find(request_id);
  if (sent == sent_.end()) return;
  const CallId id = sent->second;
  auto& call = calls_.at(id);
  if (call.at != from) return;
  const auto progress = answers_.onPart(request_id, part, now);
  switch (progress) {
    case AnswerIntake::Progress::Unknown:
      return;
    case AnswerIntake::Progress::Open:
      passOn(id, call);
      return;
    case AnswerIntake::Progress::Whole:
      conclude(id, answers_.take(request_id), now);
      return;
    case AnswerIntake::Progress::Broken:
      onAnswerBroken(
          id, call,
          part.end == wire::BodyEnd::Broken ? SendingFailure::EndpointSaidSo : SendingFailure::Unsound, now);
      return;
  }
}

/// Without it 5 of 75 stops of gates behind full links ran into their limit with 1 to 4 answers that their
/// askers granted slowly, as measured by stopping all of them in turn.
void OutboundCalls::onEndpointLeaves(const Address& address, TimePoint now) {
  for (const auto& [id, call] : calls_) {
    if (call.at == address) answers_.expedite(call.sent_as, now + parts_.options.stopMaximum(), now);
  }
}

void OutboundCalls::onAnswerBroken(CallId id, CallState& call, SendingFailure failure, TimePoint now) {
  call.failure = failure;
  recall(call, now);
  onFailed(id, call, now);
}

void OutboundCalls::passOn(CallId id, CallState& call) {
  if (call.is_passed_on) {
    const auto bytes = answers_.takePart(call.sent_as);
    call.passed_bytes += bytes.size();
    parts_.callers.continueAnswer(id, bytes, wire::BodyEnd::Open);
  } else if (call.takes_parts && answers_.isDue(call.sent_as)) {
    const auto head = answers_.pass(call.sent_as);
    call.is_passed_on = true;
    call.passed_bytes = head.body.size();
    parts_.callers.beginAnswer(id, head);
  }
}

void OutboundCalls::onRead(CallId id, std::size_t bytes, TimePoint now) {
  const auto call = calls_.find(id);
  if (call != calls_.end()) answers_.onRead(call->second.sent_as, bytes, now);
}

}  // namespace cometstand::sidecar

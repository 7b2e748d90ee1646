#include <utility>

#include "sidecar/outbound_calls.h"

/// Reception of large answers, which endpoints send in parts as this sidecar grants them.
namespace cometstand::sidecar {

using runtime::Address;

void OutboundCalls::sendAnswerGrant(std::uint64_t attempt_number, const wire::BodyGrantT& grant) {
  const auto sent = calls_by_attempt_.find(attempt_number);
  if (sent == calls_by_attempt_.end()) return;
  const auto& call = calls_.at(sent->second);
  const auto link = call.endpoint ? parts_.peers.linkTo(*call.endpoint) : std::nullopt;
  if (link) parts_.actions.send(*link, grant, attempt_number);
}

void OutboundCalls::onAnswerPart(const Address& from, std::uint64_t request_id, const wire::BodyPartT& part,
                                 TimePoint now) {
  const auto sent = calls_by_attempt_.find(request_id);
  if (sent == calls_by_attempt_.end()) return;
  const CallId id = sent->second;
  auto& call = calls_.at(id);
  if (call.endpoint != from) return;
  const auto progress = answers_.onPart(request_id, part, now);
  switch (progress) {
    case ResponseIntake::Progress::Unknown:
      return;
    case ResponseIntake::Progress::Open:
      streamAnswer(id, call);
      return;
    case ResponseIntake::Progress::Whole:
      finishAttempt(id, answers_.take(request_id), now);
      return;
    case ResponseIntake::Progress::Broken:
      onAnswerAborted(id, call,
                      part.end == wire::BodyEnd::Broken ? AttemptFailure::ReportedByEndpoint
                                                        : AttemptFailure::ProtocolViolation,
                      now);
      return;
    case ResponseIntake::Progress::NoMemory:
      onAnswerAborted(id, call, AttemptFailure::NoMemory, now);
      return;
  }
}

/// On a saturated link, large answers that are granted at the usual rate outlast the endpoint's stop and are
/// cut.
void OutboundCalls::onEndpointDraining(const Address& address, TimePoint now) {
  for (const auto& [id, call] : calls_) {
    if (call.endpoint == address)
      answers_.expedite(call.attempt_number, now + parts_.options.requestCancelTime(), now);
  }
}

void OutboundCalls::onAnswerAborted(CallId id, CallState& call, AttemptFailure failure, TimePoint now) {
  call.failure = failure;
  cancelAttempt(call, now);
  onFailed(id, call, now);
}

void OutboundCalls::streamAnswer(CallId id, CallState& call) {
  if (call.is_streamed) {
    const auto bytes = answers_.takeReceivedBytes(call.attempt_number);
    call.streamed_bytes += bytes.size();
    parts_.callers.continueAnswer(id, bytes, wire::BodyEnd::Open);
  } else if (call.accepts_streaming && answers_.shouldStream(call.attempt_number)) {
    const auto head = answers_.beginStreaming(call.attempt_number);
    call.is_streamed = true;
    call.streamed_bytes = head.body.size();
    parts_.callers.beginAnswer(id, head);
  }
}

void OutboundCalls::onRead(CallId id, std::size_t bytes, TimePoint now) {
  const auto call = calls_.find(id);
  if (call != calls_.end()) answers_.onRead(call->second.attempt_number, bytes, now);
}

}  // namespace cometstand::sidecar

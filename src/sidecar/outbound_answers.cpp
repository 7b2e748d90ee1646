#include "sidecar/outbound_calls.h"

/// How large answers to callers' requests come: in parts, as they are granted.
namespace cometstand::sidecar {

using runtime::Address;

void OutboundCalls::grantAnswer(std::uint64_t sending, std::uint32_t bytes) {
  const auto sent = sent_.find(sending);
  if (sent == sent_.end()) return;
  const auto& call = calls_.at(sent->second);
  const auto link = call.at ? parts_.peers.linkTo(*call.at) : std::nullopt;
  if (!link) return;
  wire::BodyGrantT grant;
  grant.bytes = bytes;
  parts_.actions.send(*link, grant, sending);
}

void OutboundCalls::onAnswerPart(const Address& from, std::uint64_t request_id, const wire::BodyPartT& part,
                                 TimePoint now) {
  const auto sent = sent_.find(request_id);
  if (sent == sent_.end()) return;
  const CallId id = sent->second;
  auto& call = calls_.at(id);
  if (call.at != from) return;
  const auto progress = answers_.onPart(request_id, part, now);
  if (progress == AnswerIntake::Progress::Whole) {
    conclude(id, answers_.take(request_id), now);
  } else if (progress == AnswerIntake::Progress::Broken) {
    recall(call, now);
    onFailed(id, call, now);
  }
}

}  // namespace cometstand::sidecar

#include "relay/request_router.h"

#include <utility>

#include "relay/error_info.h"

namespace cometstand::relay {
namespace {

/// Suggested pause after a failed claim.
constexpr Duration kRetryAfter = std::chrono::seconds(1);

wire::ClaimReplyT failedReply(wire::Outcome outcome, const char* message) {
  wire::ClaimReplyT reply;
  reply.outcome = outcome;
  reply.error =
      errorInfo(ErrorKind::Unavailable, message, "send the request again with the same key", kRetryAfter);
  return reply;
}

}  // namespace

void RequestRouter::forward(runtime::LinkId from, const wire::EnvelopeT& message, TimePoint now) {
  if (!upstream_) {
    actions_.send(from, failedReply(wire::Outcome::NotRun, "the relay has no link to the store"),
                  message.request_id);
    return;
  }
  const std::uint64_t id = numbers_.next();
  pending_[id] = {from, message.request_id, *upstream_, now + limit_};
  auto copy = std::make_shared<wire::EnvelopeT>(message);
  copy->request_id = id;
  actions_.send(*upstream_, std::move(copy));
}

bool RequestRouter::onAnswer(std::uint64_t request_id, const wire::ClaimReplyT& reply) {
  const auto found = pending_.find(request_id);
  if (found == pending_.end()) return false;
  actions_.send(found->second.link, reply, found->second.request_id);
  pending_.erase(found);
  return true;
}

void RequestRouter::answerUnknown(const Pending& pending) {
  actions_.send(pending.link, failedReply(wire::Outcome::Unknown, "the store's answer was lost"),
                pending.request_id);
}

void RequestRouter::onUpstreamClosed(runtime::LinkId link) {
  if (upstream_ == link) upstream_.reset();
  for (const auto& [id, pending] : pending_) {
    if (pending.upstream == link) answerUnknown(pending);
  }
  std::erase_if(pending_, [&](const auto& item) { return item.second.upstream == link; });
}

void RequestRouter::forget(runtime::LinkId link) {
  std::erase_if(pending_, [&](const auto& item) { return item.second.link == link; });
}

void RequestRouter::onTimer(TimePoint now) {
  while (!pending_.empty() && pending_.begin()->second.deadline <= now) {
    answerUnknown(pending_.begin()->second);
    pending_.erase(pending_.begin());
  }
}

TimePoint RequestRouter::nextTimer() const {
  return pending_.empty() ? TimePoint::max() : pending_.begin()->second.deadline;
}

}  // namespace cometstand::relay

#include "proxy/control_claims.h"

#include <algorithm>
#include <vector>

#include "base/error.h"

namespace cometstand::proxy {
namespace {

/// Pause before a claim that no leader decided on is asked for again.
constexpr Duration kClaimRetryPause = std::chrono::milliseconds(100);

wire::ClaimReplyT failedReply(wire::Outcome outcome, ErrorKind kind, const char* message, const char* remedy,
                              Duration retry_after) {
  wire::ClaimReplyT reply;
  reply.outcome = outcome;
  reply.error = std::make_shared<wire::ErrorInfoT>();
  reply.error->kind = static_cast<std::uint16_t>(kind);
  reply.error->message = message;
  reply.error->remedy = remedy;
  reply.error->retry_after_ms = static_cast<std::uint32_t>(ceilMilliseconds(retry_after));
  return reply;
}

wire::ClaimReplyT noRelayReply(const ControlOptions& options) {
  return failedReply(wire::Outcome::NotRun, ErrorKind::Unavailable, "no relay serves the proxy",
                     "send the request again later", options.reconnect_maximum);
}

/// @return true if asking again would bring the same answer.
bool isDecided(const wire::ClaimReplyT& reply) {
  if (reply.outcome == wire::Outcome::Completed) return true;
  if (reply.outcome == wire::Outcome::Unknown || !reply.error) return false;
  switch (static_cast<ErrorKind>(reply.error->kind)) {
    case ErrorKind::Unavailable:
    case ErrorKind::Overloaded:
    case ErrorKind::Timeout:
    case ErrorKind::Stopping:
      return false;
    default:
      return true;
  }
}

}  // namespace

void ControlClaims::request(wire::ClaimRequestT request, std::uint64_t callback, TimePoint now) {
  const bool relay_may_return = link_lost_at_ && now < *link_lost_at_ + options_.claim_retry_limit;
  if (!link_ && !relay_may_return) {
    on_answer_(callback, noRelayReply(options_));
    return;
  }
  const std::uint64_t request_id = ++last_request_id_;
  auto& pending = requests_[request_id];
  pending.request = std::move(request);
  pending.callback = callback;
  pending.deadline = now + options_.claim_limit;
  pending.retry_until = inOutage(now) ? now : now + options_.claim_retry_limit;
  sendRequest(request_id, pending);
}

void ControlClaims::finish(wire::ClaimFinishT finish, TimePoint now) {
  const std::uint64_t request_id = ++last_request_id_;
  auto& pending = finishes_[request_id];
  pending.finish = std::move(finish);
  sendFinish(request_id, pending, now);
}

void ControlClaims::sendRequest(std::uint64_t request_id, PendingRequest& pending) {
  pending.send_again = TimePoint::max();
  if (!link_) return;
  ++pending.times_sent;
  actions_.send(*link_, pending.request, request_id);
}

void ControlClaims::sendFinish(std::uint64_t request_id, PendingFinish& pending, TimePoint now) {
  pending.send_again = now + options_.claim_finish_retry;
  if (link_) actions_.send(*link_, pending.finish, request_id);
}

void ControlClaims::onReply(std::uint64_t request_id, const wire::ClaimReplyT& reply, TimePoint now) {
  const auto finish = finishes_.find(request_id);
  if (finish != finishes_.end()) {
    // What the store has not decided on is tried again by the timer.
    if (isDecided(reply)) finishes_.erase(finish);
    return;
  }
  if (!requests_.contains(request_id)) return;
  const bool decided = isDecided(reply);
  noteDecided(decided, now);
  if (!decided && retryLater(request_id, now)) return;
  answer(request_id, reply, now);
}

void ControlClaims::noteDecided(bool decided, TimePoint now) {
  if (decided) {
    undecided_since_.reset();
  } else if (!undecided_since_) {
    undecided_since_ = now;
  }
}

bool ControlClaims::inOutage(TimePoint now) const {
  return undecided_since_ && *undecided_since_ + options_.claim_retry_limit <= now;
}

bool ControlClaims::retryLater(std::uint64_t request_id, TimePoint now) {
  auto& pending = requests_.at(request_id);
  if (now + kClaimRetryPause > pending.retry_until) return false;
  pending.send_again = now + kClaimRetryPause;
  return true;
}

void ControlClaims::answer(std::uint64_t request_id, const wire::ClaimReplyT& reply, TimePoint now) {
  const auto found = requests_.find(request_id);
  if (found == requests_.end()) return;
  const PendingRequest pending = std::move(found->second);
  requests_.erase(found);
  const bool may_be_held = reply.outcome == wire::Outcome::Unknown ||
                           (reply.outcome == wire::Outcome::NotRun && pending.times_sent > 1);
  if (may_be_held) {
    wire::ClaimFinishT release;
    release.tenant = pending.request.tenant;
    release.key = pending.request.key;
    release.attempt = pending.request.attempt;
    release.end = wire::ClaimEnd::Released;
    finish(std::move(release), now);
  }
  on_answer_(pending.callback, reply);
}

void ControlClaims::expire(std::uint64_t request_id, TimePoint now) {
  noteDecided(false, now);
  if (requests_.at(request_id).times_sent == 0) return answer(request_id, noRelayReply(options_), now);
  answer(request_id,
         failedReply(wire::Outcome::Unknown, ErrorKind::Timeout, "the store did not answer the claim in time",
                     "send the request again with the same idempotency key", options_.claim_limit),
         now);
}

void ControlClaims::onLinkLost(TimePoint now) {
  link_.reset();
  link_lost_at_ = now;
}

void ControlClaims::onLinkReady(runtime::LinkId link, TimePoint now) {
  link_ = link;
  for (auto& [id, pending] : requests_) sendRequest(id, pending);
  for (auto& [id, pending] : finishes_) sendFinish(id, pending, now);
}

/// One that no relay could be sent is given up as soon as it is not tried any more: it surely holds no claim.
TimePoint ControlClaims::expiryOf(const PendingRequest& pending) {
  return pending.times_sent == 0 ? pending.retry_until : pending.deadline;
}

void ControlClaims::onTimer(TimePoint now) {
  std::vector<std::uint64_t> expired;
  for (const auto& [id, pending] : requests_) {
    if (expiryOf(pending) <= now) expired.push_back(id);
  }
  for (auto& [id, pending] : requests_) {
    if (pending.send_again <= now) sendRequest(id, pending);
  }
  for (const auto id : expired) expire(id, now);
  for (auto& [id, pending] : finishes_) {
    if (pending.send_again <= now) sendFinish(id, pending, now);
  }
}

TimePoint ControlClaims::nextTimer() const {
  TimePoint next = TimePoint::max();
  for (const auto& [id, pending] : requests_) next = std::min({next, expiryOf(pending), pending.send_again});
  for (const auto& [id, pending] : finishes_) next = std::min(next, pending.send_again);
  return next;
}

}  // namespace cometstand::proxy

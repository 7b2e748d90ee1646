#include "store/command_forwarder.h"

#include <algorithm>
#include <utility>

#include "base/error.h"
#include "store/log_writer.h"
#include "store/replies.h"

namespace cometstand::store {

using runtime::LinkId;

void CommandForwarder::forward(const Requester& requester, const wire::CommandRequestT& request,
                               bool may_change, Duration time_limit, TimePoint now) {
  const auto leader = context_.consensus.leadership().leader;
  const auto link = replicas_.linkTo(leader);
  if (!link) {
    sendReply(context_, requester,
              notRunReply<wire::CommandReplyT>(
                  Error(ErrorKind::Unavailable, "no leader is known or reachable",
                        "send the command again, or to another replica", context_.options.retry_after)));
    return;
  }
  const std::uint64_t id = ++last_request_id_;
  pending_[id] = {requester, *link, may_change, now + time_limit};
  wire::CommandRequestT forwarded = request;
  forwarded.forwarded = true;
  context_.actions.send(*link, std::move(forwarded), id);
  ++context_.metrics.commands_forwarded;
}

void CommandForwarder::onReply(LinkId link, std::uint64_t request_id, const wire::CommandReplyT& reply) {
  const auto found = pending_.find(request_id);
  if (found == pending_.end() || found->second.leader != link) return;
  const Requester requester = found->second.requester;
  pending_.erase(found);
  sendReply(context_, requester, reply);
}

void CommandForwarder::fail(const Pending& pending) {
  const Error error(pending.may_change ? ErrorKind::Unknown : ErrorKind::Unavailable,
                    "the leader's answer was lost", "send the command again under the same identifier",
                    context_.options.retry_after);
  sendReply(context_, pending.requester,
            pending.may_change ? unknownOutcomeReply<wire::CommandReplyT>(error)
                               : notRunReply<wire::CommandReplyT>(error));
}

void CommandForwarder::onLinkClosed(LinkId link) {
  for (const auto& [id, pending] : pending_) {
    if (pending.leader == link) fail(pending);
  }
  std::erase_if(pending_, [&](const auto& item) {
    return item.second.leader == link || item.second.requester.link == link;
  });
}

void CommandForwarder::onTimer(TimePoint now) {
  for (const auto& [id, pending] : pending_) {
    if (pending.deadline <= now) fail(pending);
  }
  std::erase_if(pending_, [&](const auto& item) { return item.second.deadline <= now; });
}

TimePoint CommandForwarder::nextTimer() const {
  TimePoint next = TimePoint::max();
  for (const auto& [id, pending] : pending_) next = std::min(next, pending.deadline);
  return next;
}

}  // namespace cometstand::store

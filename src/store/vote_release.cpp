#include "store/vote_release.h"

namespace cometstand::store {
namespace {

constexpr Duration kRequestInterval = std::chrono::milliseconds(50);
/// Without a reply of a leader for this many of the longest election timeouts, the replica stops with its
/// vote: while there is no leader, no vote can be released.
constexpr int kNoLeaderTimeouts = 2;

}  // namespace

void VoteRelease::begin(TimePoint now) {
  begun_ = true;
  leader_known_at_ = now;
  next_request_at_ = now + kRequestInterval;
  if (isActive()) sendRequests();
}

bool VoteRelease::isNoVoter() const {
  const auto membership = context_.consensus.membership();
  const bool is_voter = consensus::isVoter(membership, context_.options.self.id);
  return !is_voter && (membership.voters.empty() || context_.consensus.isMembershipSettled());
}

bool VoteRelease::isDone() const { return !isActive() || isNoVoter(); }

/// The request goes to all voters, because a replica that was removed no longer learns which one leads.
void VoteRelease::sendRequests() {
  wire::VoteReleaseRequestT request;
  request.replica = context_.options.self.id;
  for (const auto& voter : context_.consensus.membership().voters) {
    if (const auto link = replicas_.linkTo(voter->id)) context_.actions.send(*link, request, 0);
  }
}

void VoteRelease::onReply(const wire::VoteReleaseReplyT& reply, TimePoint now) {
  if (reply.state == wire::VoteReleaseState::NotLeader) return;
  leader_known_at_ = now;
  is_ended_ = reply.state != wire::VoteReleaseState::Pending;
}

void VoteRelease::onTimer(TimePoint now) {
  if (!isActive() || now < next_request_at_) return;
  next_request_at_ = now + kRequestInterval;
  if (context_.isLeader()) {
    leader_known_at_ = now;
    return;
  }
  is_ended_ = now >= leader_known_at_ + kNoLeaderTimeouts * context_.options.consensus.election_timeout_max;
  if (!is_ended_) sendRequests();
}

TimePoint VoteRelease::nextTimer() const { return isActive() ? next_request_at_ : TimePoint::max(); }

}  // namespace cometstand::store

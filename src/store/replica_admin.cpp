#include "store/replica_admin.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>

#include "base/error.h"
#include "base/event_log.h"
#include "consensus/membership.h"
#include "store/events.h"
#include "store/log_writer.h"
#include "store/queries.h"
#include "store/replies.h"

namespace cometstand::store {

using consensus::MembershipChangeKind;

void ReplicaAdmin::addReplica(const Requester& requester, const command::NewReplica& replica, TimePoint now) {
  consensus::MembershipChange change;
  change.kind = MembershipChangeKind::AddLearner;
  change.replica.id = replica.id;
  change.replica.name = replica.name;
  change.replica.address = replica.address.host;
  change.replica.port = replica.address.port;
  change.replica.region = replica.region;
  begin(requester, change, context_.options.command_time_limit, now);
}

void ReplicaAdmin::removeReplica(const Requester& requester, consensus::ReplicaId id, TimePoint now) {
  consensus::MembershipChange change;
  change.kind = MembershipChangeKind::RemoveReplica;
  change.replica.id = id;
  begin(requester, change, context_.options.command_time_limit, now);
}

void ReplicaAdmin::replaceReplica(const Requester& requester, consensus::ReplicaId old_id,
                                  consensus::ReplicaId new_id, TimePoint now) {
  consensus::MembershipChange change;
  change.kind = MembershipChangeKind::ReplaceVoter;
  change.replica.id = new_id;
  change.replaced = old_id;
  begin(requester, change, context_.options.repair_time_limit, now);
}

void ReplicaAdmin::begin(const Requester& requester, const consensus::MembershipChange& change,
                         Duration limit, TimePoint now) {
  changes_.push_back({requester, change, Stage::Waiting, 0, now + limit, now});
  step(now);
}

bool ReplicaAdmin::isInEffect(const consensus::MembershipChange& change) const {
  const auto membership = context_.consensus.membership();
  const auto* replica = consensus::findReplica(membership, change.replica.id);
  switch (change.kind) {
    case MembershipChangeKind::AddLearner:
      return replica != nullptr && replica->address == change.replica.address &&
             replica->port == change.replica.port;
    case MembershipChangeKind::PromoteLearner:
      return consensus::isVoter(membership, change.replica.id);
    case MembershipChangeKind::DemoteVoter:
      return consensus::isLearner(membership, change.replica.id);
    case MembershipChangeKind::RemoveReplica:
      return replica == nullptr;
    case MembershipChangeKind::ReplaceVoter:
      return consensus::isVoter(membership, change.replica.id) &&
             consensus::findReplica(membership, change.replaced) == nullptr;
  }
  return false;
}

void ReplicaAdmin::step(TimePoint now) {
  for (auto change = changes_.begin(); change != changes_.end();) {
    change = advance(*change, now) ? changes_.erase(change) : std::next(change);
  }
  stepTransfers(now);
}

bool ReplicaAdmin::advance(Change& change, TimePoint now) {
  if (change.stage != Stage::InLog && isInEffect(change.change)) {
    change.stage = Stage::InLog;
    // The entry that contains this membership is at or before the last index.
    change.index = context_.consensus.lastIndex();
  }
  if (change.stage == Stage::InLog) {
    if (context_.consensus.commitIndex() < change.index) return false;
    complete(change);
    return true;
  }
  return change.stage == Stage::Waiting && change.next_attempt <= now && context_.isLeader() &&
         tryAppend(change, now);
}

bool ReplicaAdmin::tryAppend(Change& change, TimePoint now) {
  try {
    context_.consensus.changeMembership(change.change, now);
    change.stage = Stage::Appended;
    return false;
  } catch (const Error& error) {
    // Retry if the learner has not caught up or another change is in progress.
    const bool is_retryable = error.kind() == ErrorKind::Conflict || error.kind() == ErrorKind::Unavailable;
    if (is_retryable && context_.isLeader()) {
      change.next_attempt = now + context_.options.consensus.heartbeat_interval;
      return false;
    }
    sendReply(context_, change.requester, notRunReply<wire::CommandReplyT>(error));
    return true;
  }
}

void ReplicaAdmin::complete(const Change& change) {
  if (change.change.kind == MembershipChangeKind::ReplaceVoter) {
    logEvent(kReplacementDone, {{"old", change.change.replaced}, {"new", change.change.replica.id}});
  }
  sendReply(context_, change.requester, showReplicas());
}

void ReplicaAdmin::onLeadershipLost(bool same_term) {
  for (const auto& change : changes_) {
    const bool is_committed =
        same_term && isInEffect(change.change) &&
        context_.consensus.commitIndex() >=
            (change.stage == Stage::InLog ? change.index : context_.consensus.lastIndex());
    if (is_committed) {
      complete(change);
    } else if (change.stage == Stage::Waiting) {
      sendReply(
          context_, change.requester,
          notRunReply<wire::CommandReplyT>(Error(ErrorKind::Unavailable, "this replica no longer leads",
                                                 "send the command again", context_.options.retry_after)));
    } else {
      sendReply(context_, change.requester,
                unknownOutcomeReply<wire::CommandReplyT>(
                    Error(ErrorKind::Unknown, "leadership was lost while the membership changed",
                          "send the command again; what already holds is answered completed",
                          context_.options.retry_after)));
    }
  }
  changes_.clear();
}

void ReplicaAdmin::transferLeader(const Requester& requester, consensus::ReplicaId target, TimePoint now) {
  try {
    context_.consensus.transferLeadership(target, now);
    transfers_.push_back({requester, target, now + context_.options.command_time_limit});
    stepTransfers(now);
  } catch (const Error& error) {
    sendReply(context_, requester, notRunReply<wire::CommandReplyT>(error));
  }
}

void ReplicaAdmin::stepTransfers(TimePoint now) {
  const auto leader = context_.consensus.leadership().leader;
  for (auto transfer = transfers_.begin(); transfer != transfers_.end();) {
    const bool is_done = leader == transfer->target;
    const bool is_elsewhere = leader != 0 && leader != context_.options.self.id && !is_done;
    if (is_done) {
      sendReply(context_, transfer->requester,
                makeTable(context_.state.catalog().version(), {"leader"}, {{std::to_string(leader)}}));
    } else if (is_elsewhere) {
      sendReply(context_, transfer->requester,
                notRunReply<wire::CommandReplyT>(
                    Error(ErrorKind::Conflict, fmt::format("replica {} was elected", leader),
                          "send the command again if that does not suit", context_.options.retry_after)));
    } else if (transfer->deadline <= now) {
      const Error error(ErrorKind::Timeout, "the replica did not take leadership over in time",
                        "see show replicas; send the command again once the replica has caught up",
                        context_.options.retry_after);
      sendReply(context_, transfer->requester,
                context_.isLeader() ? notRunReply<wire::CommandReplyT>(error)
                                    : unknownOutcomeReply<wire::CommandReplyT>(error));
    } else {
      ++transfer;
      continue;
    }
    transfer = transfers_.erase(transfer);
  }
}

void ReplicaAdmin::onTimer(TimePoint now) {
  for (auto change = changes_.begin(); change != changes_.end();) {
    if (change->deadline > now) {
      ++change;
      continue;
    }
    const Error error(ErrorKind::Timeout, "the membership change did not end in time",
                      "see show replicas, check the new replica, and send the command again",
                      context_.options.retry_after);
    sendReply(context_, change->requester,
              change->stage == Stage::Waiting ? notRunReply<wire::CommandReplyT>(error)
                                              : unknownOutcomeReply<wire::CommandReplyT>(error));
    change = changes_.erase(change);
  }
}

TimePoint ReplicaAdmin::nextTimer() const {
  TimePoint next = TimePoint::max();
  for (const auto& change : changes_) {
    next = std::min(next, change.deadline);
    if (change.stage == Stage::Waiting) next = std::min(next, change.next_attempt);
  }
  for (const auto& transfer : transfers_) next = std::min(next, transfer.deadline);
  return next;
}

wire::CommandReplyT ReplicaAdmin::showReplicas() const {
  const auto membership = context_.consensus.membership();
  const auto leadership = context_.consensus.leadership();
  std::map<consensus::ReplicaId, consensus::FollowerStatus> followers;
  for (const auto& follower : context_.consensus.followers()) followers[follower.id] = follower;
  std::vector<std::vector<std::string>> rows;
  for (const auto* replicas : {&membership.voters, &membership.learners}) {
    const bool is_voter = replicas == &membership.voters;
    for (const auto& replica : *replicas) {
      const bool is_leader = replica->id == leadership.leader;
      const auto& status = followers[replica->id];
      rows.push_back({std::to_string(replica->id), replica->name,
                      fmt::format("{}:{}", replica->address, replica->port), replica->region,
                      is_leader ? "leader" : (is_voter ? "voter" : "learner"),
                      std::to_string(is_leader ? context_.consensus.lastIndex() : status.match_index),
                      is_leader || status.is_active ? "active" : "silent"});
    }
  }
  return makeTable(context_.state.catalog().version(),
                   {"id", "name", "address", "region", "role", "log_index", "state"}, rows);
}

}  // namespace cometstand::store

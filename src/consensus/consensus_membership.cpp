#include <fmt/format.h>

#include <algorithm>
#include <memory>
#include <utility>

#include "base/error.h"
#include "base/event_log.h"
#include "consensus/consensus.h"
#include "consensus/events.h"
#include "consensus/messages.h"

/// Single-server membership changes (chapter 4 of the dissertation), leadership transfer (section 3.10 of the
/// dissertation) and log compaction (section 7 of the paper).
namespace cometstand::consensus {
namespace {

constexpr runtime::WriteId kNoWrite{};

}  // namespace

bool Consensus::isMembershipSettled() const {
  return log_.membershipIndex() <= commit_index_ && log_.membership().replaced == 0;
}

void Consensus::requireReadyForChange() const {
  if (role_ != Role::Leader) {
    throw Error(ErrorKind::Unavailable, fmt::format("replica {} is not the leader", self_.id),
                "ask the leader", options_.election_timeout_max);
  }
  // A leader that has not committed an entry in its term could start a change while one of an earlier leader
  // is still uncommitted; the quorums of the two might not overlap (Ongaro, "bug in single-server membership
  // changes", raft-dev, 2015).
  if (commit_index_ < leader_state_->term_start_index) {
    throw Error(ErrorKind::Unavailable, "the leader has not committed an entry in its term yet",
                "repeat the change", options_.heartbeat_interval);
  }
  if (!isMembershipSettled()) {
    throw Error(ErrorKind::Conflict, "another membership change is running", "repeat the change",
                options_.election_timeout_max);
  }
}

LogIndex Consensus::changeMembership(const MembershipChange& change, TimePoint now) {
  if (role_ != Role::Failed) beginEvent(now);
  requireReadyForChange();
  std::uint64_t incarnation = 0;
  const bool promotes = change.kind == MembershipChangeKind::PromoteLearner ||
                        change.kind == MembershipChangeKind::ReplaceVoter;
  if (promotes && isLearner(log_.membership(), change.replica.id)) {
    const auto& progress = leader_state_->followers.at(change.replica.id);
    if (!isCaughtUp(progress)) {
      throw Error(ErrorKind::Conflict, fmt::format("learner {} has not caught up", change.replica.id),
                  "wait until its match index reaches the commit index", options_.election_timeout_max);
    }
    incarnation = *progress.incarnation;
  }
  const auto next = applyChange(log_.membership(), change, incarnation);
  return appendMembership(next);
}

LogIndex Consensus::appendMembership(const wire::MembershipT& membership) {
  const LogIndex index = appendAsLeader(wire::EntryKind::Membership, encodeMembership(membership));
  // A membership takes effect when it is appended, before it is committed (section 4.1 of the dissertation).
  updateFollowers();
  return index;
}

void Consensus::updateFollowers() {
  auto& followers = leader_state_->followers;
  std::erase_if(followers, [this](const auto& follower) {
    return findReplica(log_.membership(), follower.first) == nullptr;
  });
  for (const auto* replicas : {&log_.membership().voters, &log_.membership().learners}) {
    for (const auto& replica : *replicas) {
      if (replica->id == self_.id || followers.contains(replica->id)) continue;
      FollowerProgress progress;
      progress.next = log_.lastIndex() + 1;
      // Counts as contact now, so that a new leader has a full election timeout to reach a quorum.
      progress.acked_round.began_at = now_;
      if (isVoter(log_.membership(), replica->id)) progress.incarnation = replica->incarnation;
      followers.emplace(replica->id, progress);
    }
  }
}

bool Consensus::isCaughtUp(const FollowerProgress& progress) const {
  const bool is_active = now_ <= progress.acked_round.began_at + options_.election_timeout_max;
  return progress.incarnation && progress.acked_round.number != 0 && is_active &&
         progress.match >= progress.acked_round.commit_index;
}

void Consensus::onMembershipCommitted() {
  logEvent(kMembershipChanged, {{"replica", self_.id},
                                {"index", log_.membershipIndex()},
                                {"voters", log_.membership().voters.size()},
                                {"learners", log_.membership().learners.size()}});
  if (role_ != Role::Leader || isVoter(log_.membership(), self_.id)) return;
  // A leader that removed itself steps down once the change is committed (section 4.2.2 of the dissertation).
  // One more heartbeat round sends the new commit index to the other replicas.
  transferLeadershipToAny(now_);
  beginRound();
  setRole(Role::Follower, 0);
}

void Consensus::finishReplacement() {
  const wire::MembershipT& membership = log_.membership();
  const bool is_ready =
      commit_index_ >= leader_state_->term_start_index && log_.membershipIndex() <= commit_index_;
  if (membership.replaced == 0 || !is_ready) return;
  MembershipChange removal;
  removal.kind = MembershipChangeKind::RemoveReplica;
  removal.replica.id = membership.replaced;
  appendMembership(applyChange(membership, removal, 0));
}

void Consensus::transferLeadership(ReplicaId target, TimePoint now) {
  if (role_ != Role::Failed) beginEvent(now);
  if (role_ != Role::Leader) {
    throw Error(ErrorKind::Unavailable, fmt::format("replica {} is not the leader", self_.id),
                "ask the leader", options_.election_timeout_max);
  }
  if (!isVoter(log_.membership(), target)) {
    throw Error(ErrorKind::NotFound, fmt::format("replica {} is not a voter", target), "name a voter");
  }
  if (target == self_.id) return;
  leader_state_->transfer = LeadershipTransfer{target, now_ + options_.election_timeout_max};
  continueTransfer();
}

bool Consensus::transferLeadershipToAny(TimePoint now) {
  if (role_ != Role::Failed) beginEvent(now);
  if (role_ != Role::Leader) return false;
  ReplicaId target = 0;
  // Prefers the voter that acknowledged the newest round, so that an unreachable voter is not chosen while
  // another one is reachable; among equals, the one with the highest match index.
  std::pair<std::uint64_t, LogIndex> best;
  for (const auto& voter : log_.membership().voters) {
    if (voter->id == self_.id) continue;
    const auto& progress = leader_state_->followers.at(voter->id);
    const std::pair candidate(progress.acked_round.number, progress.match);
    if (target != 0 && candidate <= best) continue;
    target = voter->id;
    best = candidate;
  }
  if (target == 0) return false;
  leader_state_->transfer = LeadershipTransfer{target, now_ + options_.election_timeout_max};
  continueTransfer();
  return true;
}

void Consensus::continueTransfer() {
  const ReplicaId target = leader_state_->transfer->target;
  const auto progress = leader_state_->followers.find(target);
  const bool is_ready =
      progress != leader_state_->followers.end() && progress->second.match == log_.lastIndex();
  if (!is_ready) return;
  wire::TimeoutNowT request;
  request.term = term_;
  request.leader = self_.id;
  send(target, request, kNoWrite);
}

void Consensus::compact(LogIndex applied_index, std::vector<std::uint8_t> state) {
  if (role_ == Role::Failed || applied_index == log_.snapshotIndex()) return;
  if (applied_index < log_.snapshotIndex() || applied_index > delivered_index_) {
    throw Error(ErrorKind::Invalid,
                fmt::format("snapshot index {} is outside the applied part of the log", applied_index),
                "take the snapshot at the last applied index");
  }
  if (state.size() > options_.max_snapshot_bytes) {
    throw Error(ErrorKind::Invalid,
                fmt::format("state of {} bytes exceeds the snapshot size limit", state.size()),
                "remove configuration objects; the limit is max_snapshot_bytes");
  }
  auto snapshot = std::make_shared<wire::ConsensusSnapshotT>();
  snapshot->last_index = applied_index;
  snapshot->last_term = *log_.termAt(applied_index);
  snapshot->membership = std::make_shared<wire::MembershipT>(log_.membershipAt(applied_index));
  snapshot->state = std::move(state);
  log_.compact(std::move(snapshot), options_.entries_kept_after_snapshot);
}

bool Consensus::snapshotDue() const {
  return storage_.bytesSinceSnapshot() >= options_.snapshot_after_log_bytes &&
         delivered_index_ > log_.snapshotIndex();
}

}  // namespace cometstand::consensus

#include "consensus/consensus.h"

#include <fmt/format.h>

#include <algorithm>
#include <memory>
#include <utility>

#include "base/error.h"
#include "consensus/events.h"
#include "consensus/invariant.h"
#include "consensus/messages.h"

namespace cometstand::consensus {
namespace {

constexpr std::uint64_t kBootstrapIncarnation = 0;
/// A replica that has just started waits for a random time between election_timeout_min divided by each of
/// these divisors before it requests pre-votes: 60 to 150 ms by default. This leaves time for the connections
/// of the other replicas to open, and the range is wide enough that one replica usually times out first.
constexpr Duration::rep kDivisorOfMinStartupDelay = 5;
constexpr Duration::rep kDivisorOfMaxStartupDelay = 2;

const char* roleName(Role role) {
  switch (role) {
    case Role::Joining:
      return "joining";
    case Role::Follower:
      return "follower";
    case Role::PreCandidate:
      return "pre_candidate";
    case Role::Candidate:
      return "candidate";
    case Role::Leader:
      return "leader";
    case Role::Failed:
      return "failed";
  }
  return "unrecognized";
}

}  // namespace

Consensus::Consensus(const ConsensusOptions& options, wire::ReplicaT self, RandomSource random)
    : options_(options), self_(std::move(self)), random_(random), storage_(options.segment_bytes) {
  options_.check();
  if (self_.id == 0) throw Error(ErrorKind::Invalid, "replica id 0 is reserved", "choose an id from 1 up");
}

void Consensus::recover(const runtime::FileReader& files, TimePoint now) {
  now_ = now;
  const StoredState state = storage_.recover(files);
  if (!state.hard_state) {
    incarnation_ = random_.uniform(1, UINT64_MAX);
    logEvent(kWaitingToJoin, {{"replica", self_.id}});
    return;
  }
  if (state.hard_state->replica_id != self_.id) {
    throw Error(
        ErrorKind::Mismatch,
        fmt::format("the data folder belongs to replica {}, not {}", state.hard_state->replica_id, self_.id),
        "configure the data folder of this replica, or an empty folder and an id that was never used");
  }
  term_ = state.hard_state->term;
  voted_for_ = state.hard_state->voted_for;
  incarnation_ = state.hard_state->incarnation;
  log_.recover(state);
  commit_index_ = log_.snapshotIndex();
  delivered_index_ = commit_index_;
  output_.installed_snapshot = log_.snapshot();
  setRole(Role::Follower, 0);
  resetPreVoteDeadline();
}

void Consensus::bootstrap(const wire::MembershipT& membership, const BootstrapTerms& terms, TimePoint now) {
  beginEvent(now);
  if (role_ != Role::Joining) {
    throw Error(ErrorKind::Conflict, "the data folder is not empty", "start this replica without bootstrap");
  }
  checkMembership(membership);
  if (terms.entry == 0 || terms.entry > terms.current) {
    throw Error(ErrorKind::Invalid, "the term of the first entry is 0 or above the current term",
                "use a term from 1 to the current one");
  }
  if (!isVoter(membership, self_.id)) {
    throw Error(ErrorKind::Invalid, fmt::format("replica {} is not one of the initial voters", self_.id),
                "start it without bootstrap and add it as a learner");
  }
  wire::MembershipT initial = membership;
  for (auto* replicas : {&initial.voters, &initial.learners}) {
    for (auto& replica : *replicas) {
      replica = std::make_shared<wire::ReplicaT>(*replica);
      replica->incarnation = kBootstrapIncarnation;
    }
  }
  incarnation_ = kBootstrapIncarnation;
  term_ = terms.current;
  // Initial voters with the same membership store an identical first entry, so that the logs match.
  wire::LogEntryT entry;
  entry.term = terms.entry;
  entry.index = 1;
  entry.kind = wire::EntryKind::Membership;
  entry.data = encodeMembership(initial);
  log_.append(std::make_shared<const wire::LogEntryT>(std::move(entry)));
  // Saved last: a folder without hard state is treated as empty, so an interrupted bootstrap can be repeated.
  saveHardState();
  setRole(Role::Follower, 0);
  resetElectionDeadline();
}

void Consensus::beginEvent(TimePoint now) {
  now_ = std::max(now_, now);
  if (role_ != Role::Leader || hasQuorum()) return;
  logEvent(kQuorumLost, {{"replica", self_.id}, {"term", term_}});
  setRole(Role::Follower, 0);
  resetElectionDeadline();
}

void Consensus::onMessage(const wire::ConsensusMessageT& message, TimePoint now) {
  if (role_ == Role::Failed) return;
  beginEvent(now);
  if (isForThisReplica(message)) dispatch(message);
}

bool Consensus::isForThisReplica(const wire::ConsensusMessageT& message) {
  if (message.to != self_.id) return false;
  if (message.to_learner || message.to_incarnation == incarnation_) return true;
  if (!wrong_incarnation_logged_)
    logEvent(kWrongIncarnation, {{"replica", self_.id}, {"peer", message.from}});
  wrong_incarnation_logged_ = true;
  return false;
}

void Consensus::dispatch(const wire::ConsensusMessageT& message) {
  if (const auto* append = message.body.AsAppendRequest()) return handleAppendRequest(message, *append);
  if (const auto* snapshot = message.body.AsSnapshotRequest())
    return handleSnapshotRequest(message, *snapshot);
  // A replica that has not joined a cluster has no term, vote or log to reply with.
  if (role_ == Role::Joining) return;
  if (const auto* vote = message.body.AsVoteRequest()) {
    return vote->pre_vote ? handlePreVoteRequest(message, *vote) : handleVoteRequest(message, *vote);
  }
  if (const auto* vote = message.body.AsVoteReply()) return handleVoteReply(message, *vote);
  if (const auto* append_reply = message.body.AsAppendReply())
    return handleAppendReply(message, *append_reply);
  if (const auto* snapshot_reply = message.body.AsSnapshotReply())
    return handleSnapshotReply(message, *snapshot_reply);
  if (const auto* request = message.body.AsTimeoutNow()) return handleTimeoutNow(*request);
  logEvent(kMalformedMessage, {{"replica", self_.id}, {"peer", message.from}});
}

void Consensus::onFileWritten(runtime::WriteId write, TimePoint now) {
  if (role_ == Role::Failed) return;
  beginEvent(now);
  synced_write_ = std::max(synced_write_, write);
  log_.onSynced(write);
  if (role_ == Role::Candidate) countVotes();
  if (role_ == Role::Leader) updateLeaderState();
}

void Consensus::onFileFailed(runtime::WriteId /*write*/, const std::string& reason, TimePoint /*now*/) {
  if (role_ == Role::Failed) return;
  logEvent(kDiskFailed, {{"replica", self_.id}, {"reason", reason}});
  setRole(Role::Failed, 0);
  outbox_.clear();
}

void Consensus::onTimer(TimePoint now) {
  if (role_ == Role::Failed) return;
  beginEvent(now);
  if (now_ < nextTimer()) return;
  if (role_ != Role::Leader) return startPreVote();
  if (leader_state_->transfer && now_ >= leader_state_->transfer->deadline) leader_state_->transfer.reset();
  if (now_ >= leader_state_->next_heartbeat) beginRound();
  updateLeaderState();
}

TimePoint Consensus::nextTimer() const {
  if (role_ == Role::Failed || role_ == Role::Joining) return TimePoint::max();
  if (role_ == Role::Leader) {
    const auto& transfer = leader_state_->transfer;
    return transfer ? std::min(transfer->deadline, leader_state_->next_heartbeat)
                    : leader_state_->next_heartbeat;
  }
  return election_deadline_;
}

void Consensus::setRole(Role role, ReplicaId leader) {
  if (role_ == Role::Leader && role != Role::Leader) {
    failReads();
    leader_state_.reset();
  }
  role_ = role;
  leader_ = leader;
}

void Consensus::adoptTerm(Term term) {
  checkInvariant(term > term_, "the term never decreases");
  term_ = term;
  voted_for_ = 0;
  outbox_.dropAcknowledgements();
  const bool was_active = role_ != Role::Follower && role_ != Role::Joining;
  if (role_ != Role::Joining) setRole(Role::Follower, 0);
  if (was_active) resetElectionDeadline();
  saveHardState();
}

void Consensus::saveHardState() {
  wire::HardStateT state;
  state.replica_id = self_.id;
  state.incarnation = incarnation_;
  state.term = term_;
  state.voted_for = voted_for_;
  storage_.saveHardState(state);
  hard_state_write_ = storage_.lastWrite();
}

void Consensus::resetElectionDeadline() {
  election_deadline_ = now_ + random_.uniform(options_.election_timeout_min, options_.election_timeout_max);
}

/// A replica that has had no contact with a leader since its start uses a shorter pre-vote timeout. After a
/// restart of all replicas there is no leader to wait for; if there is a leader, the replicas in contact with
/// it reject the pre-vote. The timeout of the election itself, which increments the term, is not shortened.
void Consensus::resetPreVoteDeadline() {
  if (last_leader_contact_) {
    resetElectionDeadline();
    return;
  }
  election_deadline_ = now_ + random_.uniform(options_.election_timeout_min / kDivisorOfMinStartupDelay,
                                              options_.election_timeout_min / kDivisorOfMaxStartupDelay);
}

void Consensus::advanceCommit(LogIndex index) {
  if (index <= commit_index_) return;
  checkInvariant(index <= log_.lastIndex(), "the commit index does not exceed the last log index");
  const bool changes_membership = log_.membershipIndex() > commit_index_ && log_.membershipIndex() <= index;
  commit_index_ = index;
  if (changes_membership) onMembershipCommitted();
}

void Consensus::deliverCommitted() {
  while (delivered_index_ < commit_index_) output_.committed.push_back(log_.at(++delivered_index_));
}

Output Consensus::takeOutput() {
  if (role_ == Role::Leader) {
    resolveReads();
    const bool needs_round =
        !leader_state_->reads.empty() && leader_state_->reads.back().round > leader_state_->rounds.current();
    if (needs_round && leader_state_->quorum_round_number == leader_state_->rounds.current()) {
      beginRound();
      updateLeaderState();
    }
  }
  if (role_ == Role::Leader) replicateToAll();
  deliverCommitted();
  output_.writes = storage_.takeWrites();
  outbox_.release(synced_write_, output_.messages);
  if (reported_leadership_ != leadership()) {
    reported_leadership_ = leadership();
    output_.leadership = reported_leadership_;
    logEvent(kRoleChanged, {{"replica", self_.id},
                            {"role", roleName(reported_leadership_.role)},
                            {"term", reported_leadership_.term},
                            {"leader", reported_leadership_.leader}});
  }
  return std::exchange(output_, {});
}

Leadership Consensus::leadership() const { return {role_, term_, leader_}; }
ReplicaId Consensus::id() const { return self_.id; }
LogIndex Consensus::commitIndex() const { return commit_index_; }
LogIndex Consensus::lastIndex() const { return log_.lastIndex(); }
Term Consensus::firstEntryTerm() const { return log_.lastIndex() == 0 ? 0 : log_.termAt(1).value_or(0); }
wire::MembershipT Consensus::membership() const { return log_.membership(); }

void Consensus::checkInvariants() const {
  log_.checkInvariants();
  checkInvariant(log_.lastTerm() <= term_, "no log entry has a term above the current term");
  checkInvariant(commit_index_ <= log_.lastIndex(), "the log reaches the commit index");
  checkInvariant(log_.snapshotIndex() <= commit_index_, "snapshots cover only committed entries");
  checkInvariant(delivered_index_ <= commit_index_, "only committed entries are delivered");
  checkInvariant(leader_state_.has_value() == (role_ == Role::Leader),
                 "leader state exists exactly while the replica is the leader");
  if (role_ != Role::Leader) return;
  checkInvariant(voted_for_ == self_.id, "a leader voted for itself");
  for (const auto& [id, progress] : leader_state_->followers) {
    checkInvariant(progress.match <= log_.lastIndex(),
                   "no match index exceeds the last index of the leader's log");
    checkInvariant(progress.next >= 1, "the next index is at least 1");
    checkInvariant(findReplica(log_.membership(), id) != nullptr,
                   "replication progress exists only for members");
  }
}

}  // namespace cometstand::consensus

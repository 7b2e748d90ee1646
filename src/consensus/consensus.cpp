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
constexpr Term kBootstrapTerm = 1;
/// The first pre-votes of a replica that has just started come after the shortest election timeout divided by
/// a number between these: 60 to 150 ms by default, which leaves the others' links time to open and still
/// differs enough between replicas that one of them is first.
constexpr Duration::rep kStartupShareShortest = 5;
constexpr Duration::rep kStartupShareLongest = 2;

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
        "name the folder of this replica, or an empty one and an id that was never used");
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

void Consensus::bootstrap(const wire::MembershipT& membership, TimePoint now) {
  beginEvent(now);
  if (role_ != Role::Joining) {
    throw Error(ErrorKind::Conflict, "the data folder is not empty", "start this replica without bootstrap");
  }
  checkMembership(membership);
  if (!isVoter(membership, self_.id)) {
    throw Error(ErrorKind::Invalid, fmt::format("replica {} is not one of the first voters", self_.id),
                "start it without bootstrap and add it as a learner");
  }
  wire::MembershipT first = membership;
  for (auto* replicas : {&first.voters, &first.learners}) {
    for (auto& replica : *replicas) {
      replica = std::make_shared<wire::ReplicaT>(*replica);
      replica->incarnation = kBootstrapIncarnation;
    }
  }
  incarnation_ = kBootstrapIncarnation;
  term_ = kBootstrapTerm;
  // The same first entry on every first voter, so that the logs match.
  wire::LogEntryT entry;
  entry.term = kBootstrapTerm;
  entry.index = 1;
  entry.kind = wire::EntryKind::Membership;
  entry.data = encodeMembership(first);
  log_.append(std::make_shared<const wire::LogEntryT>(std::move(entry)));
  // Last: a folder without hard state counts as empty, so that a bootstrap cut short can be repeated.
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
  // A replica that has not joined yet knows nothing that it could answer with.
  if (role_ == Role::Joining) return;
  if (const auto* vote = message.body.AsVoteRequest()) {
    return vote->pre_vote ? handlePreVoteRequest(message, *vote) : handleVoteRequest(message, *vote);
  }
  if (const auto* vote = message.body.AsVoteReply()) return handleVoteReply(message, *vote);
  if (const auto* answer = message.body.AsAppendReply()) return handleAppendReply(message, *answer);
  if (const auto* answer = message.body.AsSnapshotReply()) return handleSnapshotReply(message, *answer);
  if (const auto* request = message.body.AsTimeoutNow()) return handleTimeoutNow(*request);
  logEvent(kMalformedMessage, {{"replica", self_.id}, {"peer", message.from}});
}

void Consensus::onFileWritten(runtime::WriteId write, TimePoint now) {
  if (role_ == Role::Failed) return;
  beginEvent(now);
  synced_write_ = std::max(synced_write_, write);
  log_.onWritten(write);
  if (role_ == Role::Candidate) countVotes();
  if (role_ == Role::Leader) updateLeader();
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
  updateLeader();
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
  checkInvariant(term > term_, "the term only rises");
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

/// Until a replica heard a leader since its start, it asks for pre-votes sooner: after all replicas ended
/// there is no leader to wait for, and if there is one, those who hear it refuse. The election itself, which
/// raises the term, keeps the usual pace.
void Consensus::resetPreVoteDeadline() {
  if (last_leader_contact_) {
    resetElectionDeadline();
    return;
  }
  election_deadline_ = now_ + random_.uniform(options_.election_timeout_min / kStartupShareShortest,
                                              options_.election_timeout_min / kStartupShareLongest);
}

void Consensus::advanceCommit(LogIndex index) {
  if (index <= commit_index_) return;
  checkInvariant(index <= log_.lastIndex(), "only entries in the log are committed");
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
    const bool wants_round =
        !leader_state_->reads.empty() && leader_state_->reads.back().round > leader_state_->rounds.current();
    if (wants_round && leader_state_->quorum_round == leader_state_->rounds.current()) {
      beginRound();
      updateLeader();
    }
  }
  if (role_ == Role::Leader) replicateToAll();
  deliverCommitted();
  output_.writes = storage_.takeWrites();
  outbox_.release(synced_write_, output_.messages);
  if (reported_ != leadership()) {
    reported_ = leadership();
    output_.leadership = reported_;
    logEvent(kRoleChanged, {{"replica", self_.id},
                            {"role", roleName(reported_.role)},
                            {"term", reported_.term},
                            {"leader", reported_.leader}});
  }
  return std::exchange(output_, {});
}

Leadership Consensus::leadership() const { return {role_, term_, leader_}; }
ReplicaId Consensus::id() const { return self_.id; }
LogIndex Consensus::commitIndex() const { return commit_index_; }
LogIndex Consensus::lastIndex() const { return log_.lastIndex(); }
wire::MembershipT Consensus::membership() const { return log_.membership(); }

void Consensus::checkInvariants() const {
  log_.checkInvariants();
  checkInvariant(log_.lastTerm() <= term_, "no entry is newer than the term");
  checkInvariant(commit_index_ <= log_.lastIndex(), "the log reaches the commit index");
  checkInvariant(log_.snapshotIndex() <= commit_index_, "snapshots hold committed entries only");
  checkInvariant(delivered_index_ <= commit_index_, "only committed entries are given out");
  checkInvariant(leader_state_.has_value() == (role_ == Role::Leader), "only a leader has a leader's state");
  if (role_ != Role::Leader) return;
  checkInvariant(voted_for_ == self_.id, "a leader voted for itself");
  for (const auto& [id, progress] : leader_state_->followers) {
    checkInvariant(progress.match <= log_.lastIndex(), "no follower matches past the leader's log");
    checkInvariant(progress.next >= 1, "indexes begin at 1");
    checkInvariant(findReplica(log_.membership(), id) != nullptr, "only members are followed");
  }
}

}  // namespace cometstand::consensus

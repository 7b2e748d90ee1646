#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "consensus/leader_state.h"
#include "consensus/log_storage.h"
#include "consensus/membership.h"
#include "consensus/options.h"
#include "consensus/outbox.h"
#include "consensus/output.h"
#include "consensus/replicated_log.h"
#include "runtime/process_core.h"
#include "schema/consensus_generated.h"

namespace cometstand::consensus {

/// One replica of the Raft protocol. Comments refer to "the paper" (Ongaro and Ousterhout, "In Search of an
/// Understandable Consensus Algorithm (Extended Version)") and "the dissertation" (Ongaro, "Consensus:
/// Bridging Theory and Practice"). Owns the log, the vote and the snapshot, persists them through LogStorage,
/// and does not interpret log entries. Performs no I/O and reads no clock: callers pass in messages, file
/// completions, timer expirations and the current time, and call takeOutput() after every event. Not
/// thread-safe; events must be passed in one at a time.
class Consensus {
 public:
  /// @param self this replica; its id must never be reused, not even after the loss of its disk.
  /// @throw Error(Invalid) if an option is out of range or the id is 0.
  Consensus(const ConsensusOptions& options, wire::ReplicaT self, RandomSource random);
  Consensus(const Consensus&) = delete;
  Consensus& operator=(const Consensus&) = delete;

  /// Recovers from the data folder. Must be called exactly once, before any other method. With an empty
  /// folder the role remains Joining.
  /// @throw Error(Corrupt) if stored data fails its checks; Error(Mismatch) if the folder belongs to another
  /// replica. The files on disk are unchanged in both cases.
  void recover(const runtime::FileReader& files, TimePoint now);

  /// Bootstraps a new cluster, after recover(). The first entry holds the membership. Initial voters that use
  /// different memberships must give the entry different terms, and any quorum of the one membership must
  /// share a voter with any quorum of the other.
  /// @throw Error(Conflict) if the folder is not empty; Error(Invalid) if this replica is not a voter in the
  /// membership, or the terms are not in order.
  void bootstrap(const wire::MembershipT& membership, const BootstrapTerms& terms, TimePoint now);

  void onMessage(const wire::ConsensusMessageT& message, TimePoint now);
  void onFileWritten(runtime::WriteId write, TimePoint now);
  /// Handles a failed file operation: the replica steps down and stops participating until it is restarted.
  void onFileFailed(runtime::WriteId write, const std::string& reason, TimePoint now);
  void onTimer(TimePoint now);
  /// @return the time of the next onTimer() call; TimePoint::max() if no timer is pending.
  TimePoint nextTimer() const;

  /// Appends a command to the log if this replica is the leader and no leadership transfer is in progress.
  /// @return the index of the entry, or nothing if the command was refused. Once Output::committed contains
  /// an entry with this index, the command is committed if the terms are equal; otherwise the entry was
  /// replaced and will never be committed.
  std::optional<LogIndex> propose(std::vector<std::uint8_t> command, TimePoint now);

  /// Requests a read index (section 8 of the paper; section 6.4 of the dissertation): verifies leadership by
  /// a heartbeat round that begins after this call and is acknowledged by a quorum. The result is returned in
  /// Output::reads; if this replica is not the leader, it is available immediately with `confirmed` false.
  void requestRead(ReadRequestId ticket, TimePoint now);

  /// Transfers leadership to another voter (section 3.10 of the dissertation). Proposals are refused until
  /// the target becomes leader or an election timeout elapses.
  /// @throw Error(Unavailable) if this replica is not the leader; Error(NotFound) if the target is not a
  /// voter.
  void transferLeadership(ReplicaId target, TimePoint now);
  /// Transfers leadership to the voter that acknowledged the newest heartbeat round; among several such
  /// voters, to the one with the highest match index.
  /// @return false if this replica is not the leader or there is no other voter.
  bool transferLeadershipToAny(TimePoint now);

  /// Changes the membership by one replica (chapter 4 of the dissertation). Only one change may be in
  /// progress at a time. ReplaceVoter takes two membership entries: the first one promotes the
  /// learner; once it is committed, the current leader appends the second one, which removes the replaced
  /// voter. The replacement is complete once membership() no longer contains the replaced voter and the
  /// second entry is committed.
  /// @return the index of the membership entry; the change is complete once that index is committed.
  /// @throw Error(Unavailable) if this replica is not the leader or has not committed an entry in its term
  /// yet; Error(Conflict) if a change is in progress or the learner has not caught up; Error(NotFound) or
  /// Error(Invalid) if the change does not apply to the current membership.
  LogIndex changeMembership(const MembershipChange& change, TimePoint now);

  /// Stores a snapshot of the state machine and discards the log entries that it covers.
  /// @param applied_index index of the last entry applied to the state; must already have been returned in
  /// Output::committed.
  /// @throw Error(Invalid) if the state is too large or the index is out of range.
  void compact(LogIndex applied_index, std::vector<std::uint8_t> state);
  /// @return true if the log has grown enough since the last snapshot that compact() should be called.
  bool snapshotDue() const;

  Output takeOutput();

  Leadership leadership() const;
  ReplicaId id() const;
  LogIndex commitIndex() const;
  LogIndex lastIndex() const;
  /// Term of the first log entry; 0 if there is none or it is no longer stored.
  Term firstEntryTerm() const;
  /// The latest membership in the log, committed or not (section 4.1 of the dissertation).
  wire::MembershipT membership() const;
  /// @return true if that membership is known to be committed and no replacement of a voter is in progress.
  bool isMembershipSettled() const;
  /// Replication state of the other replicas; empty if this replica is not the leader.
  std::vector<FollowerStatus> followers() const;

  /// For tests and simulation.
  /// @throw std::logic_error if an invariant of this replica's state does not hold.
  void checkInvariants() const;

 private:
  // consensus.cpp: event handling and state common to all roles.
  /// Updates the current time. A leader without recent contact to a quorum, for example because the process
  /// was suspended, steps down before it handles the event.
  void beginEvent(TimePoint now);
  bool isForThisReplica(const wire::ConsensusMessageT& message);
  void dispatch(const wire::ConsensusMessageT& message);
  void setRole(Role role, ReplicaId leader);
  void adoptTerm(Term term);
  void saveHardState();
  void advanceCommit(LogIndex index);
  void deliverCommitted();
  void resetElectionDeadline();
  void resetPreVoteDeadline();
  template <typename Body>
  void send(ReplicaId to, Body body, runtime::WriteId after);
  template <typename Body>
  void reply(const wire::ConsensusMessageT& request, Body body, runtime::WriteId after);

  // consensus_election.cpp: elections (sections 5.2 and 5.4 of the paper, section 9.6 of the dissertation).
  bool hasRecentLeaderContact() const;
  void startPreVote();
  void startElection(bool is_transfer);
  void requestVotes(const wire::VoteRequestT& request, runtime::WriteId after);
  void countVotes();
  void handlePreVoteRequest(const wire::ConsensusMessageT& message, const wire::VoteRequestT& request);
  void handleVoteRequest(const wire::ConsensusMessageT& message, const wire::VoteRequestT& request);
  void handleVoteReply(const wire::ConsensusMessageT& message, const wire::VoteReplyT& vote);
  void handleTimeoutNow(const wire::TimeoutNowT& request);

  // consensus_follower.cpp: the receiver of append and snapshot requests (sections 5.3 and 7 of the paper).
  bool followLeader(Term term, ReplicaId leader);
  void join();
  void handleAppendRequest(const wire::ConsensusMessageT& message, const wire::AppendRequestT& request);
  void handleSnapshotRequest(const wire::ConsensusMessageT& message, const wire::SnapshotRequestT& request);
  void storeEntries(const wire::AppendRequestT& request);

  // consensus_leader.cpp: replication by the leader, heartbeat rounds and reads.
  void becomeLeader();
  void failReads();
  LogIndex appendAsLeader(wire::EntryKind kind, std::vector<std::uint8_t> data);
  void beginRound();
  void replicate(ReplicaId id, FollowerProgress& progress);
  void replicateToAll();
  void sendAppend(ReplicaId id, FollowerProgress& progress, bool with_entries);
  void sendSnapshot(ReplicaId id, FollowerProgress& progress);
  bool isExpectedSender(const wire::ConsensusMessageT& message) const;
  /// Records the heartbeat round that the reply acknowledges.
  /// @return the progress of the sender; nullptr if the reply must be ignored.
  FollowerProgress* acceptReply(const wire::ConsensusMessageT& message, Term term, std::uint64_t round);
  void handleAppendReply(const wire::ConsensusMessageT& message, const wire::AppendReplyT& append_reply);
  void handleSnapshotReply(const wire::ConsensusMessageT& message,
                           const wire::SnapshotReplyT& snapshot_reply);
  void updateLeaderState();
  void commitByQuorum();
  void confirmRounds();
  void resolveReads();
  bool hasQuorum() const;
  template <typename Value, typename OwnValue, typename FollowerValue>
  Value quorumOf(OwnValue own, FollowerValue of_follower) const;

  // consensus_membership.cpp: membership changes and leadership transfer (chapter 4 and section 3.10 of the
  // dissertation).
  void requireReadyForChange() const;
  LogIndex appendMembership(const wire::MembershipT& membership);
  void updateFollowers();
  bool isCaughtUp(const FollowerProgress& progress) const;
  void onMembershipCommitted();
  /// Second step of ReplaceVoter: removes the replaced voter once the promotion is committed. The current
  /// leader does this even if an earlier leader started the replacement.
  void finishReplacement();
  void continueTransfer();

  ConsensusOptions options_;
  wire::ReplicaT self_;
  RandomSource random_;
  LogStorage storage_;
  ReplicatedLog log_{storage_};
  Outbox outbox_;
  Output output_;
  TimePoint now_;

  // Hard state, persisted on disk (figure 2 of the paper, "Persistent state").
  Term term_ = 0;
  ReplicaId voted_for_ = 0;
  std::uint64_t incarnation_ = 0;
  /// The file operation that stores the current hard state.
  runtime::WriteId hard_state_write_{};
  /// The newest file operation that is synced.
  runtime::WriteId synced_write_{};

  Role role_ = Role::Joining;
  ReplicaId leader_ = 0;
  /// The values last returned in Output::leadership.
  Leadership reported_leadership_;
  LogIndex commit_index_ = 0;
  /// Last index returned in Output::committed or covered by an installed snapshot.
  LogIndex delivered_index_ = 0;
  TimePoint election_deadline_;
  std::optional<TimePoint> last_leader_contact_;
  /// Voters, including this replica, that granted the vote or pre-vote in progress.
  std::set<ReplicaId> votes_;
  std::optional<LeaderState> leader_state_;
  bool wrong_incarnation_logged_ = false;
};

}  // namespace cometstand::consensus

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

/// One replica's part in the Raft protocol (Ongaro and Ousterhout, "In Search of an Understandable Consensus
/// Algorithm (Extended Version)"; Ongaro, "Consensus: Bridging Theory and Practice", called the
/// dissertation). It owns the log, the vote and the snapshot, on disk through LogStorage, and knows nothing
/// of what the entries mean. A plain state machine: it is handed messages, file completions, timers and the
/// time, and gives back an Output. Not thread-safe: one event after another drives it. Every event is
/// followed by takeOutput().
class Consensus {
 public:
  /// @param self this replica; its id is never reused, also not after its disk was lost.
  /// @throw Error(Invalid) if an option is out of range or the id is 0.
  Consensus(const ConsensusOptions& options, wire::ReplicaT self, RandomSource random);
  Consensus(const Consensus&) = delete;
  Consensus& operator=(const Consensus&) = delete;

  /// Recovers from the data folder. Called once, first. An empty folder leaves the role at Joining.
  /// @throw Error(Corrupt) if stored data fails its checks; Error(Mismatch) if the folder belongs to another
  /// replica. Nothing is changed on disk in either case.
  void recover(const runtime::FileReader& files, TimePoint now);

  /// First start of a new cluster: called on each first voter, with the same membership, after recover().
  /// @throw Error(Conflict) if the folder is not empty; Error(Invalid) if self is not one of the voters.
  void bootstrap(const wire::MembershipT& membership, TimePoint now);

  void onMessage(const wire::ConsensusMessageT& message, TimePoint now);
  void onFileWritten(runtime::WriteId write, TimePoint now);
  /// The disk failed: the replica steps down and takes no part any more.
  void onFileFailed(runtime::WriteId write, const std::string& reason, TimePoint now);
  void onTimer(TimePoint now);
  /// @return when onTimer() is wanted next; TimePoint::max() for never.
  TimePoint nextTimer() const;

  /// Appends a command to the log, if this replica is the leader and no transfer is running.
  /// @return its index; whether it is committed is known once `committed` gives that index: with this term it
  /// is, with another term it never will be.
  std::optional<LogIndex> propose(std::vector<std::uint8_t> command, TimePoint now);

  /// Asks whether this replica still is the leader, by a quorum round that begins after this call (section 8
  /// of the paper; read index, section 6.4 of the dissertation). Answered by Output::reads, at once with
  /// `confirmed` false if this replica is not the leader.
  void requestRead(ReadTicket ticket, TimePoint now);

  /// Hands leadership to another voter (section 3.10 of the dissertation). Proposals are refused until it
  /// took over or an election timeout passed.
  /// @throw Error(Unavailable) if this replica is not the leader; Error(NotFound) if the target is no voter.
  void transferLeadership(ReplicaId target, TimePoint now);
  /// Hands leadership to the voter that was heard last, of several to the one with the longest log.
  /// @return false if this replica is not the leader or there is no other voter.
  bool transferLeadershipToAny(TimePoint now);

  /// Changes the membership by one replica (chapter 4 of the dissertation); one change at a time.
  /// @return the index of the membership entry; the change holds once that index is committed. ReplaceVoter
  /// takes two entries: the second one, which removes the replaced voter, is appended by whoever leads once
  /// the first is committed. The replacement is complete once membership() no longer names that voter and its
  /// index is committed.
  /// @throw Error(Unavailable) if this replica is not the leader or has not committed in its term yet;
  /// Error(Conflict) if a change is running or the learner has not caught up; Error(NotFound),
  /// Error(Invalid).
  LogIndex changeMembership(const MembershipChange& change, TimePoint now);

  /// Stores a snapshot of the state machine and drops the log before it.
  /// @param applied_index the last entry in the state; not past what was given as committed.
  /// @throw Error(Invalid) if the state is too large or the index is wrong.
  void compact(LogIndex applied_index, std::vector<std::uint8_t> state);
  /// @return true once the log since the last snapshot is long enough that compact() should be called.
  bool snapshotDue() const;

  Output takeOutput();

  Leadership leadership() const;
  ReplicaId id() const;
  LogIndex commitIndex() const;
  LogIndex lastIndex() const;
  /// The latest membership in the log, committed or not (section 4.1 of the dissertation).
  wire::MembershipT membership() const;
  /// Replication state of the other replicas; empty unless leader.
  std::vector<FollowerStatus> followers() const;

  /// @throw std::logic_error if an invariant of this replica's state does not hold. For tests and simulation.
  void checkInvariants() const;

 private:
  // consensus.cpp: events in general
  /// Takes the time over; a leader that lost its quorum, for example while it was frozen, steps down first.
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

  // consensus_election.cpp: section 5.2 and 5.4 of the paper, 9.6 of the dissertation
  bool hearsLeader() const;
  void startPreVote();
  void startElection(bool is_transfer);
  void requestVotes(const wire::VoteRequestT& request, runtime::WriteId after);
  void countVotes();
  void handlePreVoteRequest(const wire::ConsensusMessageT& message, const wire::VoteRequestT& request);
  void handleVoteRequest(const wire::ConsensusMessageT& message, const wire::VoteRequestT& request);
  void handleVoteReply(const wire::ConsensusMessageT& message, const wire::VoteReplyT& vote);
  void handleTimeoutNow(const wire::TimeoutNowT& request);

  // consensus_follower.cpp: the receiver's side of section 5.3 and 7 of the paper
  bool followLeader(Term term, ReplicaId leader);
  void join();
  void handleAppendRequest(const wire::ConsensusMessageT& message, const wire::AppendRequestT& request);
  void handleSnapshotRequest(const wire::ConsensusMessageT& message, const wire::SnapshotRequestT& request);
  void storeEntries(const wire::AppendRequestT& request);

  // consensus_leader.cpp: the sender's side, rounds and reads
  void becomeLeader();
  void failReads();
  LogIndex appendAsLeader(wire::EntryKind kind, std::vector<std::uint8_t> data);
  void beginRound();
  void replicate(ReplicaId id, FollowerProgress& progress);
  void replicateToAll();
  void sendAppend(ReplicaId id, FollowerProgress& progress, bool with_entries);
  void sendSnapshot(ReplicaId id, FollowerProgress& progress);
  bool isExpectedSender(const wire::ConsensusMessageT& message) const;
  /// @return the sender's progress, its round noted; nullptr if the answer does not count.
  FollowerProgress* acceptReply(const wire::ConsensusMessageT& message, Term term, std::uint64_t round);
  void handleAppendReply(const wire::ConsensusMessageT& message, const wire::AppendReplyT& answer);
  void handleSnapshotReply(const wire::ConsensusMessageT& message, const wire::SnapshotReplyT& answer);
  void updateLeader();
  void commitByQuorum();
  void confirmRounds();
  void resolveReads();
  bool hasQuorum() const;
  template <typename Value, typename OwnValue, typename FollowerValue>
  Value quorumOf(OwnValue own, FollowerValue of_follower) const;

  // consensus_membership.cpp: chapter 4 and section 3.10 of the dissertation
  void requireReadyForChange() const;
  LogIndex appendMembership(const wire::MembershipT& membership);
  void updateFollowers();
  bool isCaughtUp(const FollowerProgress& progress) const;
  void onMembershipCommitted();
  /// Second step of ReplaceVoter, by whichever leader sees the first one committed.
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

  // On disk: the hard state (figure 2 of the paper, "persistent state").
  Term term_ = 0;
  ReplicaId voted_for_ = 0;
  std::uint64_t incarnation_ = 0;
  /// The operation that stores the newest hard state.
  runtime::WriteId hard_state_write_{};
  /// The newest operation that is synced.
  runtime::WriteId synced_write_{};

  Role role_ = Role::Joining;
  ReplicaId leader_ = 0;
  Leadership reported_;
  LogIndex commit_index_ = 0;
  /// Last index given out in Output::committed or in a snapshot.
  LogIndex delivered_index_ = 0;
  TimePoint election_deadline_;
  std::optional<TimePoint> last_leader_contact_;
  /// Voters that granted the running vote or pre-vote.
  std::set<ReplicaId> votes_;
  std::optional<LeaderState> leader_state_;
  bool wrong_incarnation_logged_ = false;
};

}  // namespace cometstand::consensus

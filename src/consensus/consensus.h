#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "consensus/membership.h"
#include "consensus/options.h"
#include "consensus/output.h"
#include "runtime/process_core.h"
#include "schema/consensus_generated.h"

namespace cometstand::consensus {

class Engine;

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
  ~Consensus();
  Consensus(Consensus&&) noexcept;
  Consensus& operator=(Consensus&&) noexcept;

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
  /// Hands leadership to the voter with the longest log.
  /// @return false if this replica is not the leader or there is no other voter.
  bool transferLeadershipToAny(TimePoint now);

  /// Changes the membership by one replica (chapter 4 of the dissertation); one change at a time.
  /// @return the index of the membership entry; the change holds once that index is committed. ReplaceVoter
  /// takes two entries, the second one is proposed once the first is committed.
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
  std::unique_ptr<Engine> engine_;
};

}  // namespace cometstand::consensus

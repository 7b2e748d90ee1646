#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "base/time.h"
#include "runtime/process_core.h"
#include "schema/consensus_generated.h"

namespace cometstand::consensus {

/// Never reused between replicas; 0 means none.
using ReplicaId = std::uint64_t;
using Term = std::uint64_t;
/// Position in the log; the first entry has index 1.
using LogIndex = std::uint64_t;

/// Names one read request; chosen by the caller, unique within one process.
enum class ReadTicket : std::uint64_t {};

using LogEntryPointer = std::shared_ptr<const wire::LogEntryT>;
using SnapshotPointer = std::shared_ptr<const wire::ConsensusSnapshotT>;

enum class Role : std::uint8_t {
  /// The data folder is empty and the replica was not bootstrapped: it waits to be added as a learner.
  Joining,
  /// Takes entries from the leader; a learner has this role too.
  Follower,
  /// Asks whether an election could be won, without raising its term (dissertation, section 9.6).
  PreCandidate,
  Candidate,
  Leader,
  /// The disk failed: the replica takes no part any more until it is restarted.
  Failed,
};

/// What this replica knows about its own and the cluster's leadership.
struct Leadership {
  Role role = Role::Joining;
  Term term = 0;
  /// 0 if not known.
  ReplicaId leader = 0;
  friend bool operator==(const Leadership&, const Leadership&) = default;
};

/// Answer to requestRead().
struct ReadResult {
  ReadTicket ticket;
  /// True: this replica was the leader at some moment after the request, and every entry up to read_index is
  /// in `committed` of this or an earlier output. False: it is not known to be; ask another replica.
  bool confirmed = false;
  LogIndex read_index = 0;
};

/// A quorum answered a heartbeat round of this leader.
struct QuorumRound {
  Term term = 0;
  /// Rises within a term.
  std::uint64_t round = 0;
  /// When the round was sent: this replica was the leader at that moment or later.
  TimePoint began_at;
  /// Commit index when the quorum had answered.
  LogIndex commit_index = 0;
};

/// What is to be done and what happened since the last takeOutput(). The caller handles the fields in the
/// order written here.
struct Output {
  /// Carried out one at a time in this order; reported by onFileWritten() or onFileFailed().
  std::vector<runtime::FileWrite> writes;
  /// To be sent at once; what they promise is already synced. Any of them may be lost.
  std::vector<wire::ConsensusMessageT> messages;
  /// Set if role, term or leader changed: the newest values.
  std::optional<Leadership> leadership;
  /// Set if the state machine must be replaced by this snapshot's state before `committed` is applied: after
  /// recover() if there is a snapshot, and when the leader sent one.
  SnapshotPointer installed_snapshot;
  /// Newly committed entries, in order and without gaps; each is given once. Entries of kind Noop and
  /// Membership are given too, so that indexes have no gaps.
  std::vector<LogEntryPointer> committed;
  std::vector<ReadResult> reads;
  /// The newest round that a quorum answered, if there is a new one.
  std::optional<QuorumRound> quorum_round;
};

}  // namespace cometstand::consensus

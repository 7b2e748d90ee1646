#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "base/time.h"
#include "runtime/process_core.h"
#include "schema/consensus_generated.h"

namespace cometstand::consensus {

/// Unique among all replicas that ever existed in the cluster, including removed ones; 0 means none.
using ReplicaId = std::uint64_t;
using Term = std::uint64_t;
/// Index of a log entry; the first entry has index 1.
using LogIndex = std::uint64_t;

/// Identifies one read request; assigned by the caller and unique within one process.
enum class ReadRequestId : std::uint64_t {};

using LogEntryPointer = std::shared_ptr<const wire::LogEntryT>;
using SnapshotPointer = std::shared_ptr<const wire::ConsensusSnapshotT>;

enum class Role : std::uint8_t {
  /// The data folder is empty and the replica was not bootstrapped; it waits to be added as a learner.
  Joining,
  /// Accepts log entries from the leader; learners also have this role.
  Follower,
  /// Requests pre-votes without incrementing its term (section 9.6 of the dissertation).
  PreCandidate,
  Candidate,
  Leader,
  /// A disk operation failed; the replica does not participate until it is restarted.
  Failed,
};

/// Role of this replica, its current term and the leader of that term.
struct Leadership {
  Role role = Role::Joining;
  Term term = 0;
  /// 0 if unknown.
  ReplicaId leader = 0;
  friend bool operator==(const Leadership&, const Leadership&) = default;
};

/// Result of requestRead().
struct ReadResult {
  ReadRequestId ticket;
  /// True if this replica was the leader at some time after the request, and every entry up to read_index is
  /// in Output::committed of this or an earlier output. False if leadership could not be verified; the caller
  /// should retry at another replica.
  bool confirmed = false;
  LogIndex read_index = 0;
};

/// A heartbeat round of this leader that a quorum has acknowledged.
struct QuorumRound {
  Term term = 0;
  /// Round number, which increases within a term.
  std::uint64_t round = 0;
  /// Time when the round was sent; this replica was the leader at that time or later.
  TimePoint began_at;
  /// Commit index at the time when the quorum had acknowledged the round.
  LogIndex commit_index = 0;
};

/// Actions to perform and results since the last takeOutput(). The caller must process the fields in the
/// order of their declaration.
struct Output {
  /// File operations, to be performed one at a time in this order. The caller reports completion by
  /// onFileWritten() or onFileFailed().
  std::vector<runtime::FileWrite> writes;
  /// Messages to be sent immediately; the state that they depend on is already synced. Messages may be lost.
  std::vector<wire::ConsensusMessageT> messages;
  /// The current values, set if role, term or leader changed.
  std::optional<Leadership> leadership;
  /// Set if the state machine must be reset to the state of this snapshot before `committed` is applied:
  /// after recover() if a snapshot is stored, and after a snapshot from the leader was installed.
  SnapshotPointer installed_snapshot;
  /// Newly committed entries, in order and without gaps; each entry is returned once. Entries of kind Noop
  /// and Membership are included, so that the indexes are consecutive.
  std::vector<LogEntryPointer> committed;
  std::vector<ReadResult> reads;
  /// The newest heartbeat round that a quorum has acknowledged, if it was not returned before.
  std::optional<QuorumRound> quorum_round;
};

}  // namespace cometstand::consensus

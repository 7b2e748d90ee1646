#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

#include "base/time.h"
#include "consensus/output.h"

namespace cometstand::consensus {

/// A heartbeat round of a leader. Every append request carries the number of the newest round at the time it
/// is sent.
struct Round {
  std::uint64_t number = 0;
  TimePoint began_at;
  /// The leader's commit index when the round began.
  LogIndex commit_index = 0;
};

/// The heartbeat rounds of one leader term, in ascending order.
class RoundTracker {
 public:
  std::uint64_t begin(TimePoint now, LogIndex commit_index);
  /// @return the number of the newest round, or 0 before the first round.
  std::uint64_t current() const { return current_; }
  /// @return nothing if the round is unknown or was evicted because it is more than kMaxRounds old.
  std::optional<Round> find(std::uint64_t number) const;

 private:
  /// Far more than the number of rounds that begin within an election timeout.
  static constexpr std::size_t kMaxRounds = 4096;

  std::uint64_t current_ = 0;
  std::deque<Round> rounds_;
};

enum class ReplicationMode : std::uint8_t {
  /// The match index is unknown: the leader sends one append request at a time to find it.
  Probe,
  /// The leader sends append requests without waiting for earlier replies.
  Pipeline,
  /// The follower needs entries that are no longer in memory: the leader sends a snapshot instead.
  Snapshot,
};

/// Replication state that a leader keeps for another replica.
struct FollowerProgress {
  ReplicationMode mode = ReplicationMode::Probe;
  /// Match index: last log index known to be synced to the follower's disk.
  LogIndex match = 0;
  /// Next index: first log index of the next append request.
  LogIndex next = 1;
  /// Set in Probe mode while an append request is outstanding; each heartbeat clears it.
  bool paused = false;
  /// In Pipeline mode, the last log index of each outstanding append request that carries entries.
  std::deque<LogIndex> in_flight;
  /// Time at which the outstanding snapshot was sent; nothing if none is outstanding.
  std::optional<TimePoint> snapshot_sent_at;
  /// Newest heartbeat round that the follower acknowledged.
  Round acked_round;
  /// Incarnation named in the follower's replies; nothing before the first reply.
  std::optional<std::uint64_t> incarnation;

  /// Records that the follower has synced the log up to `index`.
  void onMatch(LogIndex index);
  /// Moves the next index back after a log mismatch.
  /// @param hint the highest log index at which the logs may match.
  /// @param last_index the leader's last log index.
  void onMismatch(LogIndex hint, LogIndex last_index);
  /// Resets the replication state, except for the next index, because the follower's data folder was
  /// replaced.
  void onNewIncarnation(std::uint64_t new_incarnation);
};

/// A linearizable read that waits until a quorum acknowledges its heartbeat round and the commit index
/// reaches its read index.
struct PendingRead {
  ReadRequestId ticket;
  std::uint64_t round = 0;
  LogIndex read_index = 0;
};

struct LeadershipTransfer {
  ReplicaId target = 0;
  TimePoint deadline;
};

/// State that a replica keeps only while it is the leader.
struct LeaderState {
  std::map<ReplicaId, FollowerProgress> followers;
  RoundTracker rounds;
  /// Newest heartbeat round that a quorum acknowledged.
  std::uint64_t quorum_round_number = 0;
  std::deque<PendingRead> reads;
  TimePoint next_heartbeat;
  /// Index of the no-op entry that the leader appended at the start of its term (section 8 of the Raft
  /// paper).
  LogIndex term_start_index = 0;
  std::optional<LeadershipTransfer> transfer;
};

}  // namespace cometstand::consensus

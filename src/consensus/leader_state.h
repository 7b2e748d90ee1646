#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

#include "base/time.h"
#include "consensus/output.h"

namespace cometstand::consensus {

/// One heartbeat round of a leader: every append request sent while it is the newest carries its number.
struct Round {
  std::uint64_t number = 0;
  TimePoint began_at;
  /// Commit index when it began.
  LogIndex commit_index = 0;
};

/// Rounds of one leadership, newest last.
class RoundTracker {
 public:
  std::uint64_t begin(TimePoint now, LogIndex commit_index);
  /// @return 0 before the first one.
  std::uint64_t current() const { return current_; }
  /// @return nothing if the round is unknown or so old that it was forgotten.
  std::optional<Round> find(std::uint64_t number) const;

 private:
  /// Far more than fit an election timeout.
  static constexpr std::size_t kMaxRounds = 4096;

  std::uint64_t current_ = 0;
  std::deque<Round> rounds_;
};

enum class ReplicationMode : std::uint8_t {
  /// Finds out where the logs match: one request at a time.
  Probe,
  /// Sends ahead of the answers.
  Pipeline,
  /// The follower needs entries that left memory: a snapshot is on its way.
  Snapshot,
};

/// What a leader knows of one other replica.
struct FollowerProgress {
  ReplicationMode mode = ReplicationMode::Probe;
  /// Last index known to be on the follower's disk.
  LogIndex match = 0;
  /// Next index to send.
  LogIndex next = 1;
  /// Set in Probe mode while a request is unanswered; heartbeats clear it.
  bool paused = false;
  /// Last index of each unanswered request with entries, in Pipeline mode.
  std::deque<LogIndex> in_flight;
  /// Set while a snapshot is unanswered.
  std::optional<TimePoint> snapshot_sent_at;
  /// Newest round it answered.
  Round acked_round;
  /// Incarnation that its answers name; nothing before the first answer.
  std::optional<std::uint64_t> incarnation;

  /// Stored on the follower's disk up to this index.
  void onMatch(LogIndex index);
  /// The logs do not match; the hint is the last index that may.
  void onMismatch(LogIndex hint, LogIndex last_index);
  /// Its data folder is a new one: nothing that was known holds any more.
  void onNewIncarnation(std::uint64_t new_incarnation);
};

/// A read waiting for its round and for its entries.
struct PendingRead {
  ReadTicket ticket;
  std::uint64_t round = 0;
  LogIndex read_index = 0;
};

struct LeadershipTransfer {
  ReplicaId target = 0;
  TimePoint deadline;
};

/// What a replica keeps only while it leads.
struct LeaderState {
  std::map<ReplicaId, FollowerProgress> followers;
  RoundTracker rounds;
  /// Newest round that a quorum answered.
  std::uint64_t quorum_round = 0;
  std::deque<PendingRead> reads;
  TimePoint next_heartbeat;
  /// Index of the no-op that began the term (section 8 of the paper).
  LogIndex first_index = 0;
  std::optional<LeadershipTransfer> transfer;
};

}  // namespace cometstand::consensus

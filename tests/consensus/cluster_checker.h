#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "consensus/output.h"

namespace cometstand::consensus {

/// Checks the safety properties of figure 3 of the Raft paper and the guarantees of Output across all
/// replicas of one simulated cluster. Each method throws std::logic_error if one of them is violated.
class ClusterChecker {
 public:
  /// Election safety: at most one leader per term.
  void onLeadership(ReplicaId id, const Leadership& leadership);
  /// Log matching: entries with the same index and term have the same data and the same preceding term in
  /// every log.
  void onMessage(const wire::ConsensusMessageT& message);
  /// State machine safety: every replica applies the same entry at each index.
  /// @param state the state of the replica after the entry was applied.
  void onApplied(const wire::LogEntryT& entry, std::uint64_t state, TimePoint now);
  /// Snapshot safety: the state of a snapshot equals the state after its last log entry was applied.
  void onSnapshot(LogIndex index, std::uint64_t state) const;
  /// Linearizability: the read index of a confirmed read covers every entry that any replica had applied when
  /// the read was requested.
  void onReadRequested(ReadRequestId ticket) { min_read_indexes_[ticket] = lastApplied(); }
  void onRead(const ReadResult& result);
  /// No leader of a newer term committed an entry before the round began, and the commit index of the round
  /// covers every entry that was applied before the round began.
  void onQuorumRound(const QuorumRound& round) const;

  LogIndex lastApplied() const { return applied_.size(); }
  std::size_t confirmedReads() const { return confirmed_reads_; }
  Term lastTerm() const { return leaders_.empty() ? 0 : leaders_.rbegin()->first; }

 private:
  struct AppliedEntry {
    Term term = 0;
    std::vector<std::uint8_t> data;
    std::uint64_t state = 0;
    TimePoint first_at;
  };
  struct EntryContent {
    std::vector<std::uint8_t> data;
    Term previous_term = 0;
    friend bool operator==(const EntryContent&, const EntryContent&) = default;
  };

  std::map<Term, ReplicaId> leaders_;
  std::map<std::pair<LogIndex, Term>, EntryContent> entries_;
  /// Position i holds the entry with index i + 1.
  std::vector<AppliedEntry> applied_;
  std::map<ReadRequestId, LogIndex> min_read_indexes_;
  std::size_t confirmed_reads_ = 0;
};

}  // namespace cometstand::consensus

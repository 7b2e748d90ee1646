#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "consensus/output.h"

namespace cometstand::consensus {

/// Watches all replicas of one simulated cluster. Each method throws std::logic_error once a property of the
/// Raft paper's figure 3, or a promise of Output, does not hold.
class ClusterChecker {
 public:
  /// Election safety: at most one leader a term.
  void onLeadership(ReplicaId id, const Leadership& leadership);
  /// Log matching: an entry of one index and term has one content and one predecessor in every log.
  void onMessage(const wire::ConsensusMessageT& message);
  /// State machine safety: every replica applies the same entries. `state` is the replica's state after it.
  void onApplied(const wire::LogEntryT& entry, std::uint64_t state, TimePoint now);
  /// The state that a snapshot holds is the one that the log led to.
  void onSnapshot(LogIndex index, std::uint64_t state) const;
  /// A confirmed read sees all that was applied anywhere when it was asked for.
  void onReadRequested(ReadTicket ticket) { read_floors_[ticket] = lastApplied(); }
  void onRead(const ReadResult& result);
  /// No newer leader committed anything before the round began, and the round knows all commits before it.
  void onQuorumRound(const QuorumRound& round) const;

  LogIndex lastApplied() const { return applied_.size(); }
  std::size_t confirmedReads() const { return confirmed_reads_; }
  Term lastTerm() const { return leaders_.empty() ? 0 : leaders_.rbegin()->first; }

 private:
  struct Applied {
    Term term = 0;
    std::vector<std::uint8_t> data;
    std::uint64_t state = 0;
    TimePoint first_at;
  };
  struct Content {
    std::vector<std::uint8_t> data;
    Term previous_term = 0;
    friend bool operator==(const Content&, const Content&) = default;
  };

  std::map<Term, ReplicaId> leaders_;
  std::map<std::pair<LogIndex, Term>, Content> entries_;
  /// By index - 1.
  std::vector<Applied> applied_;
  std::map<ReadTicket, LogIndex> read_floors_;
  std::size_t confirmed_reads_ = 0;
};

}  // namespace cometstand::consensus

#include "cluster_checker.h"

#include "consensus/invariant.h"

namespace cometstand::consensus {

void ClusterChecker::onLeadership(ReplicaId id, const Leadership& leadership) {
  if (leadership.role != Role::Leader) return;
  const auto [leader, is_new] = leaders_.emplace(leadership.term, id);
  checkInvariant(is_new || leader->second == id, "a term has at most one leader");
}

void ClusterChecker::onMessage(const wire::ConsensusMessageT& message) {
  const auto* append = message.body.AsAppendRequest();
  if (append == nullptr) return;
  Term previous_term = append->previous_term;
  for (const auto& entry : append->entries) {
    const EntryContent content{entry->data, previous_term};
    const auto [known, is_new] = entries_.emplace(std::pair(entry->index, entry->term), content);
    checkInvariant(is_new || known->second == content,
                   "logs with an entry of equal index and term are equal up to that entry");
    previous_term = entry->term;
  }
}

void ClusterChecker::onApplied(const wire::LogEntryT& entry, std::uint64_t state, TimePoint now) {
  if (entry.index == applied_.size() + 1) applied_.push_back({entry.term, entry.data, state, now});
  checkInvariant(entry.index >= 1 && entry.index <= applied_.size(), "entries are applied without gaps");
  const AppliedEntry& known = applied_[entry.index - 1];
  checkInvariant(known.term == entry.term && known.data == entry.data, "a committed entry never changes");
  checkInvariant(known.state == state, "replicas that applied the same log have the same state");
}

void ClusterChecker::onSnapshot(LogIndex index, std::uint64_t state) const {
  checkInvariant(index >= 1 && index <= applied_.size(), "a snapshot covers only applied entries");
  checkInvariant(applied_[index - 1].state == state, "a snapshot holds the state after its last index");
}

void ClusterChecker::onRead(const ReadResult& result) {
  if (!result.confirmed) return;
  ++confirmed_reads_;
  checkInvariant(result.read_index >= min_read_indexes_.at(result.ticket), "a confirmed read is not stale");
}

void ClusterChecker::onQuorumRound(const QuorumRound& round) const {
  LogIndex last_applied_before_round = 0;
  for (auto entry = applied_.rbegin(); entry != applied_.rend(); ++entry) {
    if (entry->first_at >= round.began_at) continue;
    checkInvariant(entry->term <= round.term,
                   "no entry of a newer term was committed before a quorum round began");
    last_applied_before_round = static_cast<LogIndex>(applied_.rend() - entry);
    break;
  }
  checkInvariant(round.commit_index >= last_applied_before_round,
                 "a quorum round covers all entries committed before it began");
}

}  // namespace cometstand::consensus

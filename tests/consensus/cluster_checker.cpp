#include "cluster_checker.h"

#include "consensus/invariant.h"

namespace cometstand::consensus {

void ClusterChecker::onLeadership(ReplicaId id, const Leadership& leadership) {
  if (leadership.role != Role::Leader) return;
  const auto [leader, is_new] = leaders_.emplace(leadership.term, id);
  checkInvariant(is_new || leader->second == id, "a term has one leader");
}

void ClusterChecker::onMessage(const wire::ConsensusMessageT& message) {
  const auto* append = message.body.AsAppendRequest();
  if (append == nullptr) return;
  Term previous_term = append->previous_term;
  for (const auto& entry : append->entries) {
    const Content content{entry->data, previous_term};
    const auto [known, is_new] = entries_.emplace(std::pair(entry->index, entry->term), content);
    checkInvariant(is_new || known->second == content, "logs that share an entry share all before it");
    previous_term = entry->term;
  }
}

void ClusterChecker::onApplied(const wire::LogEntryT& entry, std::uint64_t state, TimePoint now) {
  if (entry.index == applied_.size() + 1) applied_.push_back({entry.term, entry.data, state, now});
  checkInvariant(entry.index >= 1 && entry.index <= applied_.size(), "entries are applied without gaps");
  const Applied& known = applied_[entry.index - 1];
  checkInvariant(known.term == entry.term && known.data == entry.data, "a committed entry never changes");
  checkInvariant(known.state == state, "equal logs lead to equal states");
}

void ClusterChecker::onSnapshot(LogIndex index, std::uint64_t state) const {
  checkInvariant(index >= 1 && index <= applied_.size(), "snapshots hold applied entries only");
  checkInvariant(applied_[index - 1].state == state, "a snapshot holds the state of its index");
}

void ClusterChecker::onRead(const ReadResult& result) {
  if (!result.confirmed) return;
  ++confirmed_reads_;
  checkInvariant(result.read_index >= read_floors_.at(result.ticket), "a confirmed read is not stale");
}

void ClusterChecker::onQuorumRound(const QuorumRound& round) const {
  LogIndex known_before = 0;
  for (auto entry = applied_.rbegin(); entry != applied_.rend(); ++entry) {
    if (entry->first_at >= round.began_at) continue;
    checkInvariant(entry->term <= round.term, "a round is no older than the newest leader's commits");
    known_before = static_cast<LogIndex>(applied_.rend() - entry);
    break;
  }
  checkInvariant(round.commit_index >= known_before, "a round knows all commits before it began");
}

}  // namespace cometstand::consensus

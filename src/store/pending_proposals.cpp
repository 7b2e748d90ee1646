#include "store/pending_proposals.h"

#include <utility>

namespace cometstand::store {

bool PendingProposals::proposeBatch(const wire::StoreCommandBatchT& batch, Handler handler, TimePoint now) {
  if (!context_.isLeader()) return false;
  const auto index = context_.consensus.propose(encodeBatch(batch), now);
  if (!index) return false;
  const auto term = context_.consensus.leadership().term;
  pending_.push_back({*index, term, now + context_.options.command_time_limit, std::move(handler)});
  return true;
}

void PendingProposals::onApplied(const wire::LogEntryT& entry, const std::vector<CommandResult>& results) {
  while (!pending_.empty() && pending_.front().index <= entry.index) {
    const Pending pending = std::move(pending_.front());
    pending_.pop_front();
    const bool is_own_entry =
        pending.index == entry.index && pending.term == entry.term && results.size() == 1;
    pending.handler(is_own_entry ? &results.front() : nullptr);
  }
}

void PendingProposals::onLeadershipLost() {
  for (const auto& pending : std::exchange(pending_, {})) pending.handler(nullptr);
}

void PendingProposals::onTimer(TimePoint now) {
  while (!pending_.empty() && pending_.front().deadline <= now) {
    const Pending pending = std::move(pending_.front());
    pending_.pop_front();
    pending.handler(nullptr);
  }
}

TimePoint PendingProposals::nextTimer() const {
  return pending_.empty() ? TimePoint::max() : pending_.front().deadline;
}

}  // namespace cometstand::store

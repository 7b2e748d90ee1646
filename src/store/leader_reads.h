#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "consensus/consensus.h"

namespace cometstand::store {

/// Linearizable reads by read index: runs an action once a quorum round that began after the call has
/// confirmed that this replica is the leader, and all entries committed before the call are applied. A leader
/// that was suspended or partitioned therefore never replies from stale state.
class LeaderReads {
 public:
  /// @param confirmed whether a quorum has confirmed this replica as leader.
  using Action = std::function<void(bool confirmed, TimePoint now)>;

  explicit LeaderReads(consensus::Consensus& consensus) : consensus_(consensus) {}

  /// Requests a confirmed read. The action is called exactly once, from a later onResult().
  void requestRead(Action action, TimePoint now) {
    const consensus::ReadRequestId ticket{++last_ticket_};
    actions_.emplace(ticket, std::move(action));
    consensus_.requestRead(ticket, now);
  }

  void onResult(const consensus::ReadResult& result, TimePoint now) {
    const auto found = actions_.find(result.ticket);
    if (found == actions_.end()) return;
    const Action action = std::move(found->second);
    actions_.erase(found);
    action(result.confirmed, now);
  }

  bool empty() const { return actions_.empty(); }

 private:
  consensus::Consensus& consensus_;
  std::uint64_t last_ticket_ = 0;
  std::map<consensus::ReadRequestId, Action> actions_;
};

}  // namespace cometstand::store

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "consensus/consensus.h"

namespace cometstand::store {

/// Runs an action once this replica is confirmed to be the leader by a quorum round that began after the
/// call, and everything committed before the call is applied (read index). So a leader that was frozen or cut
/// off never answers from stale state.
class LeaderReads {
 public:
  /// @param confirmed false: this replica is not known to lead.
  using Action = std::function<void(bool confirmed, TimePoint now)>;

  explicit LeaderReads(consensus::Consensus& consensus) : consensus_(consensus) {}

  /// The action runs once, in a later step.
  void ask(Action action, TimePoint now) {
    const consensus::ReadTicket ticket{++last_ticket_};
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
  std::map<consensus::ReadTicket, Action> actions_;
};

}  // namespace cometstand::store

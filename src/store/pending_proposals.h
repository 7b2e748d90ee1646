#pragma once

#include <deque>
#include <functional>

#include "store/state_machine.h"
#include "store/store_context.h"

namespace cometstand::store {

/// Proposals from callers in the same process, each one command in its own log entry, that have not been
/// applied yet.
class PendingProposals {
 public:
  /// @param result of the command; nullptr if it is unknown whether the command took effect.
  using Handler = std::function<void(const CommandResult* result)>;

  explicit PendingProposals(StoreContext& context) : context_(context) {}

  /// Proposes the command.
  /// @param handler called exactly once, after this function returned true; never called if it returned
  /// false.
  /// @return false if this replica is not the leader or the proposal was not accepted.
  template <typename Command>
  bool propose(Command command, Handler handler, TimePoint now) {
    wire::StoreCommandBatchT batch;
    auto store_command = std::make_shared<wire::StoreCommandT>();
    store_command->body.Set(std::move(command));
    batch.commands.push_back(std::move(store_command));
    return proposeBatch(batch, std::move(handler), now);
  }

  /// @param entry the log entry that was applied.
  /// @param results one for each command of the entry.
  void onApplied(const wire::LogEntryT& entry, const std::vector<CommandResult>& results);
  void onLeadershipLost();
  void onTimer(TimePoint now);
  TimePoint nextTimer() const;
  bool idle() const { return pending_.empty(); }

 private:
  struct Pending {
    consensus::LogIndex index = 0;
    consensus::Term term = 0;
    TimePoint deadline;
    Handler handler;
  };

  bool proposeBatch(const wire::StoreCommandBatchT& batch, Handler handler, TimePoint now);

  StoreContext& context_;
  std::deque<Pending> pending_;
};

}  // namespace cometstand::store

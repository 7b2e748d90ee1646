#pragma once

#include <deque>
#include <functional>

#include "store/state_machine.h"
#include "store/store_context.h"

namespace cometstand::store {

/// Callers in the same process who wait until their command, alone in its log entry, is applied.
class ProposalWaits {
 public:
  /// @param result of the command; nullptr if whether it took effect is not known.
  using Handler = std::function<void(const CommandResult* result)>;

  explicit ProposalWaits(StoreContext& context) : context_(context) {}

  /// Proposes the command. @param handler called exactly once, later, if the result is true; else never.
  /// @return false if this replica does not lead.
  template <typename Command>
  bool propose(Command command, Handler handler, TimePoint now) {
    wire::StoreCommandBatchT batch;
    auto boxed = std::make_shared<wire::StoreCommandT>();
    boxed->body.Set(std::move(command));
    batch.commands.push_back(std::move(boxed));
    return proposeBatch(batch, std::move(handler), now);
  }

  /// @param results of the entry's commands.
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

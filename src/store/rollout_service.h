#pragma once

#include <functional>
#include <optional>
#include <string>

#include "store/proposal_waits.h"
#include "store/rollout_clock.h"

namespace cometstand::store {

/// What an operator is told of an order or a read of a roll-out.
enum class RolloutAnswerKind : std::uint8_t {
  /// The order is durable, or the read's answer is the newest state.
  Done,
  /// Another roll-out of the service runs.
  Conflict,
  /// No such service is configured, or it had no roll-out yet.
  NotFound,
  /// Not run: ask the replica at `leader`, if that is known.
  NotLeader,
  /// Whether the order took effect is not known: send it again.
  Unknown,
};

struct RolloutAnswer {
  RolloutAnswerKind kind = RolloutAnswerKind::Unknown;
  /// Of Done.
  RolloutPointer rollout;
  /// Of NotLeader.
  std::optional<runtime::Address> leader;
};

using RolloutAnswerHandler = std::function<void(const RolloutAnswer&)>;

/// Operators' orders and reads of roll-outs, for callers in the same process. An order is answered once its
/// log entry is applied; a read once a quorum confirmed this replica as the leader after the call.
class RolloutService {
 public:
  /// @param clock must outlive the service.
  RolloutService(StoreContext& context, const RolloutClock& clock) : context_(context), clock_(clock) {}

  /// @param handler called exactly once, now or later.
  void order(wire::RolloutOrderT order, const RolloutAnswerHandler& handler, TimePoint now);
  void read(const std::string& service, RolloutAnswerHandler handler, TimePoint now);

  void onApplied(const wire::LogEntryT& entry, const std::vector<CommandResult>& results) {
    proposals_.onApplied(entry, results);
  }
  void onLeadershipLost() { proposals_.onLeadershipLost(); }
  void onTimer(TimePoint now) { proposals_.onTimer(now); }
  TimePoint nextTimer() const { return proposals_.nextTimer(); }
  bool idle() const { return proposals_.idle(); }

 private:
  RolloutAnswer notLeader() const;
  RolloutAnswer answerOf(const CommandResult* result, const std::string& service) const;
  bool isConfigured(const std::string& service) const;

  StoreContext& context_;
  const RolloutClock& clock_;
  ProposalWaits proposals_{context_};
};

}  // namespace cometstand::store

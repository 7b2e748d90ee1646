#pragma once

#include <functional>
#include <optional>
#include <string>

#include "store/pending_proposals.h"
#include "store/rollout_clock.h"

namespace cometstand::store {

/// Outcome of an order or a read of a roll-out, for operators.
enum class RolloutAnswerKind : std::uint8_t {
  /// The order is durable, or the read returned the latest state.
  Done,
  /// Another roll-out of the service is in progress.
  Conflict,
  /// The service is not configured, or it has had no roll-out yet.
  NotFound,
  /// The request was not executed. Retry at the replica at `leader`, if that is known.
  NotLeader,
  /// It is unknown whether the order took effect. Send it again.
  Unknown,
};

struct RolloutAnswer {
  RolloutAnswerKind kind = RolloutAnswerKind::Unknown;
  /// Latest roll-out of the service. Set for Done and Conflict.
  RolloutPointer rollout;
  /// Address of the leader if it is known. Set for NotLeader only.
  std::optional<runtime::Address> leader;
};

using RolloutAnswerHandler = std::function<void(const RolloutAnswer&)>;

/// Handles operators' orders and reads of roll-outs for callers in the same process. An order completes once
/// its log entry is applied; a read completes once a quorum has confirmed, after the call, that this replica
/// is the leader.
class RolloutService {
 public:
  /// @param clock must outlive the service.
  RolloutService(StoreContext& context, const RolloutClock& clock) : context_(context), clock_(clock) {}

  /// @param handler called exactly once, possibly before this function returns.
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
  PendingProposals proposals_{context_};
};

}  // namespace cometstand::store

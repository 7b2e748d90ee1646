#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "store/pending_proposals.h"

namespace cometstand::store {

/// Outcome, as reported to the operator, of an order to evacuate a zone or to end its evacuation.
enum class EvacuationAnswerKind : std::uint8_t {
  /// The order is committed, or the zone was already in the ordered state.
  Done,
  /// The zone is not known; nothing was changed.
  UnknownZone,
  /// The order was not executed: send it to the replica at `leader`, if that is known.
  NotLeader,
  /// It is not known whether the order took effect, or the order may be a delayed duplicate: send it again.
  Unknown,
};

struct EvacuationAnswer {
  EvacuationAnswerKind kind = EvacuationAnswerKind::Unknown;
  /// Address of the leader if it is known; set for NotLeader only.
  std::optional<runtime::Address> leader;
};

using EvacuationAnswerHandler = std::function<void(const EvacuationAnswer&)>;

/// Executes operators' orders to evacuate zones and to end evacuations. An order is answered once its log
/// entry is applied.
///
/// Orders carry no sequence number, so a duplicate that was delayed by the network cannot be told from a new
/// order. An order that would reverse a recent change is therefore held, with the outcome reported as
/// unknown, and executed only when it is received a second time: an operator retries an order whose outcome
/// is unknown, whereas nobody retries a delayed duplicate.
class EvacuationService {
 public:
  /// An order that reverses a change made within this time may be a delayed duplicate: operators abandon a
  /// call after one second, and an order still in transit then arrives within a few more seconds or not at
  /// all.
  static constexpr Duration kDuplicateWindow = std::chrono::seconds(5);
  /// Time after a held order within which a repetition confirms it: operators retry an order within about one
  /// second.
  static constexpr Duration kConfirmationWindow = std::chrono::seconds(2);
  /// Minimum time between a held order and the repetition that confirms it. Duplicates that arrive closer
  /// together may have been in transit together; operators wait longer between two calls.
  static constexpr Duration kMinConfirmationDelay = std::chrono::milliseconds(20);

  explicit EvacuationService(StoreContext& context) : context_(context) {}

  /// @param handler called exactly once, during the call or later.
  void order(const wire::EvacuationOrderT& order, const EvacuationAnswerHandler& handler, TimePoint now);

  /// To be called after each log entry was applied.
  void onApplied(const wire::LogEntryT& entry, const std::vector<CommandResult>& results, TimePoint now);
  /// To be called after the state machine was restored from a snapshot.
  void onRestored(TimePoint now) { recordAppliedChanges(now); }
  void onLeadershipLost() { proposals_.onLeadershipLost(); }
  void onTimer(TimePoint now) { proposals_.onTimer(now); }
  TimePoint nextTimer() const { return proposals_.nextTimer(); }
  bool idle() const { return proposals_.idle(); }

 private:
  /// The newest change of a zone that this replica has applied.
  struct Change {
    std::uint64_t number = 0;
    TimePoint applied_at;
    /// When an order that would reverse the change was received first within kConfirmationWindow.
    std::optional<TimePoint> reversal_requested_at;
    /// The state of the zone in a proposal whose outcome is not yet known: true for evacuated.
    std::optional<bool> proposed;
  };

  bool isKnownZone(const std::string& zone) const;
  /// Records the changes that were applied since the last call.
  void recordAppliedChanges(TimePoint now);
  /// Records the time of an order that would reverse a recent change.
  /// @return true if the order may be a delayed duplicate.
  bool mayBeDelayedDuplicate(const wire::EvacuationOrderT& order, TimePoint now);

  StoreContext& context_;
  PendingProposals proposals_{context_};
  std::map<std::string, Change> changes_;
};

}  // namespace cometstand::store

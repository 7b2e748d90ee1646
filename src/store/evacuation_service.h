#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "store/proposal_waits.h"

namespace cometstand::store {

/// What an operator is told of an order to evacuate a zone, or to end that.
enum class EvacuationAnswerKind : std::uint8_t {
  /// The order is durable, or the zone was as ordered.
  Done,
  /// No zone of that name is known. Nothing changed.
  UnknownZone,
  /// Not run: ask the replica at `leader`, if that is known.
  NotLeader,
  /// Whether the order took effect is not known, or it may be a late copy: send it again.
  Unknown,
};

struct EvacuationAnswer {
  EvacuationAnswerKind kind = EvacuationAnswerKind::Unknown;
  /// Of NotLeader.
  std::optional<runtime::Address> leader;
};

using EvacuationAnswerHandler = std::function<void(const EvacuationAnswer&)>;

/// Operators' orders to evacuate zones, and to end that. An order is answered once its log entry is applied.
///
/// Orders carry no number, so a copy of an order that was delayed on its way looks like a new one. An order
/// that would take back a recent change is therefore taken only when it comes a second time: who means it
/// sends it again, since the first answer says that the outcome is not known, and a copy has no sender any
/// more.
class EvacuationService {
 public:
  /// An order that reverses a change of this age, or a newer one, may be a late copy: operators give a call
  /// up after a second, and what is still on its way then arrives within a few more or not at all.
  static constexpr Duration kCopyTime = std::chrono::seconds(5);
  /// A second coming counts for this long after the first: operators send an order again within about a
  /// second. Reckoned.
  static constexpr Duration kRepeatWithin = std::chrono::seconds(2);
  /// Two copies closer together may have been on their way together; operators pause longer between two
  /// calls.
  static constexpr Duration kLeastRepeat = std::chrono::milliseconds(20);

  explicit EvacuationService(StoreContext& context) : context_(context) {}

  /// @param handler called exactly once, now or later.
  void order(const wire::EvacuationOrderT& order, const EvacuationAnswerHandler& handler, TimePoint now);

  /// To be called after each entry was applied.
  void onApplied(const wire::LogEntryT& entry, const std::vector<CommandResult>& results, TimePoint now);
  /// The whole state was replaced.
  void onRestored(TimePoint now) { noteApplied(now); }
  void onLeadershipLost() { proposals_.onLeadershipLost(); }
  void onTimer(TimePoint now) { proposals_.onTimer(now); }
  TimePoint nextTimer() const { return proposals_.nextTimer(); }
  bool idle() const { return proposals_.idle(); }

 private:
  /// The newest change of a zone that this replica has applied.
  struct Change {
    std::uint64_t number = 0;
    TimePoint applied_at;
    /// When an order that would reverse it first came, lately.
    std::optional<TimePoint> reversal_at;
    /// What was proposed and is not known to be applied.
    std::optional<bool> proposed;
  };

  bool isKnown(const std::string& zone) const;
  /// Takes note of what was applied since the last time.
  void noteApplied(TimePoint now);
  /// @return true if the order may be a late copy; its coming is noted.
  bool mayBeCopy(const wire::EvacuationOrderT& order, TimePoint now);

  StoreContext& context_;
  ProposalWaits proposals_{context_};
  std::map<std::string, Change> changes_;
};

}  // namespace cometstand::store

#include "store/evacuation_service.h"

#include "base/event_log.h"
#include "store/events.h"

namespace cometstand::store {
namespace {

/// Maximum length of a zone name if the settings do not list the zones. It bounds the replicated state, since
/// names are never removed from it.
constexpr std::size_t kMaxZoneNameBytes = 64;

}  // namespace

bool EvacuationService::isKnownZone(const std::string& zone) const {
  const auto& zones = context_.options.zones;
  if (!zones.empty()) return zones.contains(zone);
  return !zone.empty() && zone.size() <= kMaxZoneNameBytes;
}

bool EvacuationService::mayBeDelayedDuplicate(const wire::EvacuationOrderT& order, TimePoint now) {
  const auto found = changes_.find(order.zone);
  if (found == changes_.end()) return false;
  auto& change = found->second;
  const bool is_evacuated = change.proposed.value_or(context_.state.evacuations().isEvacuated(order.zone));
  const bool is_recent = change.proposed.has_value() || now < change.applied_at + kDuplicateWindow;
  if (is_evacuated == order.is_evacuated || !is_recent) return false;
  if (!change.reversal_requested_at || now >= *change.reversal_requested_at + kConfirmationWindow)
    change.reversal_requested_at = now;
  return now < *change.reversal_requested_at + kMinConfirmationDelay;
}

void EvacuationService::order(const wire::EvacuationOrderT& order, const EvacuationAnswerHandler& handler,
                              TimePoint now) {
  if (!context_.isLeader()) {
    handler({EvacuationAnswerKind::NotLeader, context_.remoteLeader()});
    return;
  }
  if (!isKnownZone(order.zone)) {
    handler({EvacuationAnswerKind::UnknownZone, std::nullopt});
    return;
  }
  const bool is_held = mayBeDelayedDuplicate(order, now);
  logEvent(kEvacuationOrdered, {{"zone", order.zone},
                                {"is_evacuated", order.is_evacuated},
                                {"was_evacuated", context_.state.evacuations().isEvacuated(order.zone)},
                                {"is_held", is_held}});
  if (is_held) {
    handler({EvacuationAnswerKind::Unknown, std::nullopt});
    return;
  }
  const auto answer = [this, handler, zone = order.zone](const CommandResult* result) {
    changes_[zone].proposed.reset();
    const bool is_applied = result != nullptr && std::holds_alternative<EvacuationResult>(*result);
    handler({is_applied ? EvacuationAnswerKind::Done : EvacuationAnswerKind::Unknown, std::nullopt});
  };
  if (proposals_.propose(order, answer, now)) {
    changes_[order.zone].proposed = order.is_evacuated;
  } else {
    handler({EvacuationAnswerKind::NotLeader, context_.remoteLeader()});
  }
}

void EvacuationService::onApplied(const wire::LogEntryT& entry, const std::vector<CommandResult>& results,
                                  TimePoint now) {
  recordAppliedChanges(now);
  proposals_.onApplied(entry, results);
}

void EvacuationService::recordAppliedChanges(TimePoint now) {
  for (const auto& [zone, record] : context_.state.evacuations().all()) {
    auto& change = changes_[zone];
    if (change.number == record->number) continue;
    change.number = record->number;
    change.applied_at = now;
    change.reversal_requested_at.reset();
  }
}

}  // namespace cometstand::store

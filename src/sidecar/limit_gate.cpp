#include <fmt/format.h>

#include "base/event_log.h"
#include "sidecar/events.h"
#include "sidecar/target_gate.h"

/// The part of the gate that handles what the target states about itself in its responses.
namespace cometstand::sidecar {
namespace {

std::string formatLimit(const std::optional<double>& rate) {
  return rate ? fmt::format("{}", *rate) : "none";
}

}  // namespace

void TargetGate::recordStatement(const TargetStatement& statement, const mesh::Incarnation& incarnation,
                                 TimePoint started, const std::string& request_id, TimePoint now) {
  if (!incarnation.matches(target_.incarnation())) return;
  if (statement.has_malformed_limit)
    logEvent(kStatementMalformed, {{"instance", incarnation.name()}, {"request", request_id}});
  const auto previous = stated_limit_.rate();
  if (stated_limit_.onResponse(statement, started, now)) {
    logEvent(kTargetLimitChanged, {{"instance", incarnation.name()},
                                   {"request", request_id},
                                   {"limit", formatLimit(stated_limit_.rate())},
                                   {"previous", formatLimit(previous)},
                                   {"running", running()},
                                   {"waiting", waiting()}});
  }
  if (statement.is_leaving && target_.condition() == TargetCondition::Ready)
    logEvent(kTargetLeavingStated, {{"instance", incarnation.name()}, {"request", request_id}});
}

/// The response to a health check can set a limit, but not lift one: targets need not state it there.
void TargetGate::recordHealthStatement(const TargetStatement& statement, const mesh::Incarnation& incarnation,
                                       TimePoint now) {
  if (!statement.rate_limit && !statement.is_leaving) return;
  recordStatement(statement, incarnation, TimePoint::min(), "", now);
}

}  // namespace cometstand::sidecar

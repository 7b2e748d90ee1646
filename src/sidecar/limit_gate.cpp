#include <fmt/format.h>

#include "base/event_log.h"
#include "sidecar/events.h"
#include "sidecar/target_gate.h"

/// The part of the gate that handles what the target states about itself in its responses.
namespace cometstand::sidecar {

std::string TargetGate::formatLimit(const std::optional<double>& rate) {
  return rate ? fmt::format("{}", *rate) : "none";
}

std::int64_t TargetGate::limitAgeMilliseconds(TimePoint now) const {
  const auto& stated = target_limit_.stated();
  return stated.rate() ? ceilMilliseconds(now - stated.statedAt()) : 0;
}

void TargetGate::recordStatement(const TargetStatement& statement, const mesh::Incarnation& incarnation,
                                 TimePoint started, const std::string& request_id, TimePoint now) {
  if (!incarnation.matches(target_.incarnation())) return;
  if (statement.has_malformed_limit)
    logEvent(kStatementMalformed, {{"instance", incarnation.name()}, {"request", request_id}});
  const auto previous = target_limit_.stated().rate();
  if (target_limit_.onResponse(statement, started, now)) logLimitChange(previous, request_id, "response");
  if (statement.is_leaving && target_.onLeavingStated(incarnation, now))
    logEvent(kTargetLeavingStated, {{"instance", incarnation.name()}, {"request", request_id}});
}

void TargetGate::logLimitChange(const std::optional<double>& previous, const std::string& request_id,
                                const char* source) const {
  logEvent(kTargetLimitChanged, {{"instance", target_.incarnation().name()},
                                 {"request", request_id},
                                 {"source", source},
                                 {"limit", formatLimit(target_limit_.stated().rate())},
                                 {"previous", formatLimit(previous)},
                                 {"running", running()},
                                 {"waiting", waiting()}});
}

/// The response to a health check can set a limit, but not lift one: targets need not state it there.
void TargetGate::recordHealthStatement(const TargetStatement& statement, const mesh::Incarnation& incarnation,
                                       TimePoint now) {
  const bool states_nothing = !statement.rate_limit && !statement.is_leaving;
  if (states_nothing || incarnation.empty()) return;
  recordStatement(statement, incarnation, TimePoint::min(), "", now);
}

void TargetGate::applyReportedStatement(const wire::ForwardRequestT& request, TimePoint now) {
  if (!request.statement || !request.statement->rate_limit) return;
  const mesh::Incarnation incarnation{request.statement->instance, request.statement->born_ms};
  if (!incarnation.matches(target_.incarnation())) return;
  const auto previous = target_limit_.stated().rate();
  if (target_limit_.onReported(*request.statement->rate_limit, now))
    logLimitChange(previous, request.request_id, "sender");
}

void TargetGate::addStatement(const GateRequester& requester, const wire::ForwardRequestT& request,
                              wire::ForwardReplyT& reply, TimePoint now) {
  const auto& stated = target_limit_.stated();
  const bool is_leaving = target_.condition() == TargetCondition::Leaving;
  if (stated.rate())
    reply.limit_pause_ms =
        static_cast<std::uint32_t>(ceilMilliseconds(target_limit_.turnOf(requester.link, now)));
  const bool has_news = stated.rate() || is_leaving || request.statement != nullptr;
  if (!stated.hasResponse() || !has_news) return;
  reply.statement = std::make_shared<wire::TargetStatementT>();
  reply.statement->instance = target_.incarnation().id;
  reply.statement->born_ms = target_.incarnation().born_ms;
  if (stated.rate()) reply.statement->rate_limit = *stated.rate();
  reply.statement->leaving = is_leaving;
}

TimePoint TargetGate::nextLimitTimer() const {
  const bool is_waiting = !waiting_.empty() && target_limit_.isExhausted(now_);
  return is_waiting ? target_limit_.nextAvailable(now_) : TimePoint::max();
}

}  // namespace cometstand::sidecar

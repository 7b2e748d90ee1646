#include "sidecar/target_gate.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/event_log.h"
#include "sidecar/events.h"

namespace cometstand::sidecar {
namespace {

constexpr double kPermille = 1000;
/// A request with less time left is not worth a slot.
constexpr Duration kMinTimeLeft = std::chrono::milliseconds(5);
/// Targets with fewer slots reserve none for short requests.
constexpr unsigned kMinSlotsToReserve = 4;
/// The largest share of the slots that is reserved for short requests, so that long ones do not starve.
constexpr double kMaxReservedShare = 1.0 / 3;
/// Multiple of the smoothed run time within which a short request is expected to finish: run times of one
/// kind of request vary, and the answer takes time on its way back.
constexpr int kRunTimeFactor = 2;
/// How long after its arrival a request's objective is compared with those of others.
constexpr Duration kObjectiveLifetime = std::chrono::seconds(2);
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(10);

}  // namespace

bool TargetGate::isLeaving(TimePoint now) const {
  const bool target_leaves = target_.condition() == TargetCondition::Leaving &&
                             now >= target_.leavingSince() + options_.leaving_grace;
  return target_leaves || now >= close_at_;
}

std::optional<wire::NotRunReason> TargetGate::refusalReason(const wire::ForwardRequestT& request,
                                                            TimePoint now) const {
  if (is_held_ || target_.condition() == TargetCondition::Unknown) return wire::NotRunReason::TargetDown;
  if (target_.service() != request.service) return wire::NotRunReason::WrongTarget;
  if (refusesAsEvacuated(now)) return wire::NotRunReason::Evacuated;
  if (!isServedInRegion(request)) return wire::NotRunReason::WrongTarget;
  if (isClosed(now)) return wire::NotRunReason::Leaving;
  if (quarantine_.isQuarantined(request)) return wire::NotRunReason::Quarantined;
  if (std::chrono::milliseconds(request.deadline_ms) < kMinTimeLeft) return wire::NotRunReason::Deadline;
  if (memory_ != nullptr && memory_->isExceeded()) return wire::NotRunReason::Full;
  return std::nullopt;
}

void TargetGate::setEvacuated(bool is_evacuated, TimePoint now) {
  if (is_evacuated == evacuated_since_.has_value()) return;
  if (is_evacuated) {
    evacuated_since_ = now;
  } else {
    evacuated_since_.reset();
  }
}

bool TargetGate::isServedInRegion(const wire::ForwardRequestT& request) const {
  const auto route = routes_ == nullptr ? nullptr : routes_->findByName(request.route);
  return route == nullptr || mesh::isAllowedRegion(route->regions, options_.zones.regionOf(options_.zone));
}

unsigned TargetGate::slots() const { return std::max(1U, target_.slots()); }

bool TargetGate::hasLongObjective(const wire::ForwardRequestT& request) const {
  return request.objective_ms / options_.long_objective_ratio >= shortest_objective_ms_;
}

bool TargetGate::yields(const wire::ForwardRequestT& request) const {
  return hasLongObjective(request) && request.priority > shortest_priority_;
}

unsigned TargetGate::slotsForYielding(TimePoint now) const {
  if (slots() < kMinSlotsToReserve) return slots();
  const double max_reserved = std::floor(slots() * kMaxReservedShare);
  const double reserved = std::clamp(std::ceil(non_yielding_load_.erlangs(now)), 1.0, max_reserved);
  return slots() - static_cast<unsigned>(reserved);
}

/// Bounds yielding requests by their own number and not by all running ones: a slot that other requests use
/// now is not reserved for them a second time.
bool TargetGate::hasSlotFor(const wire::ForwardRequestT& request, TimePoint now) const {
  if (running_.size() >= slots() || isColdLimited(now) || target_limit_.isExhausted(now)) return false;
  if (!yields(request)) return true;
  const auto yielding =
      std::count_if(running_.begin(), running_.end(), [](const auto& item) { return item.second.yields; });
  return yielding < static_cast<std::ptrdiff_t>(slotsForYielding(now));
}

void TargetGate::recordObjective(const wire::ForwardRequestT& request, TimePoint now) {
  if (request.objective_ms > shortest_objective_ms_ && now < shortest_seen_at_ + kObjectiveLifetime) return;
  shortest_objective_ms_ = request.objective_ms;
  shortest_priority_ = request.priority;
  shortest_seen_at_ = now;
}

bool TargetGate::hasPrecedence(const wire::ForwardRequestT& request, TimePoint now) const {
  return yielding_seen_at_ && now < *yielding_seen_at_ + kObjectiveLifetime && !hasLongObjective(request);
}

/// A short request among long ones waits as long as its answer can still arrive in time: it takes little of
/// the target's capacity, and its sender has mostly done much more work already, for example a run that needs
/// this answer to continue.
Duration TargetGate::maxQueueTime(const wire::ForwardRequestT& request, TimePoint now) const {
  const Duration requested = std::chrono::milliseconds(request.patience_ms);
  if (!hasPrecedence(request, now)) return requested;
  const Duration objective = std::chrono::milliseconds(request.objective_ms);
  return std::max(requested, objective - kRunTimeFactor * non_yielding_load_.runTime());
}

TargetGate::QueueKey TargetGate::queueKeyOf(const wire::ForwardRequestT& request, TimePoint now) const {
  const TimePoint deadline = now + std::chrono::milliseconds(request.deadline_ms);
  const TimePoint start_by = std::min(deadline, now + maxQueueTime(request, now));
  return {request.priority, start_by, next_number_};
}

Duration TargetGate::estimateSlotWait(std::size_t ahead) const {
  return Duration(static_cast<Duration::rep>(mean_run_time_ * static_cast<double>(ahead + 1) / slots()));
}

/// @return true if the request gets no slot at once and would have to wait longer than it may behind the
/// requests that are served first.
bool TargetGate::isFullFor(const wire::ForwardRequestT& request, TimePoint now) const {
  if (hasSlotFor(request, now)) return false;
  const auto ahead = std::distance(waiting_.begin(), waiting_.lower_bound(queueKeyOf(request, now)));
  return estimateWait(static_cast<std::size_t>(ahead), now) > maxQueueTime(request, now);
}

void TargetGate::reply(const GateRequester& requester, const wire::ForwardRequestT& request,
                       wire::ForwardReplyT reply, TimePoint now) {
  reply.running = running();
  reply.waiting = waiting();
  reply.slots = slots();
  reply.failure_permille = static_cast<std::uint32_t>(failure_rate_ * kPermille);
  reply.run_time_permille = static_cast<std::uint32_t>(relative_run_time_ * kPermille);
  reply.cold_ms = static_cast<std::uint32_t>(ceilMilliseconds(coldTime(now)));
  reply.cold_room = reply.cold_ms == 0 ? 0 : cold_limit_.available(now);
  addStatement(requester, request, reply, now);
  answer_(requester, std::move(reply));
}

void TargetGate::refuse(const GateRequester& requester, const wire::ForwardRequestT& request,
                        wire::NotRunReason reason, TimePoint now, Duration min_wait) {
  wire::ForwardReplyT answer;
  answer.outcome = wire::ForwardOutcome::NotRun;
  answer.reason = reason;
  metrics_.recordRefusal(reason);
  const Duration wait = std::max({estimateWait(waiting_.size(), now), min_wait, kMinRetryAfter});
  logEvent(kGateRefused, {{"request", request.request_id},
                          {"reason", wire::EnumNameNotRunReason(reason)},
                          {"service", request.service},
                          {"instance", target_.incarnation().name()},
                          {"sequence", target_.sequence()},
                          {"running", running()},
                          {"waiting", waiting()},
                          {"slots", slots()},
                          {"cold_ms", ceilMilliseconds(coldTime(now))},
                          {"limit", formatLimit(target_limit_.stated().rate())},
                          {"limit_age_ms", limitAgeMilliseconds(now)},
                          {"sent_in_window", target_limit_.sentInWindow(now)},
                          {"patience_ms", request.patience_ms},
                          {"expected_wait_ms", ceilMilliseconds(wait)}});
  answer.retry_after_ms = static_cast<std::uint32_t>(ceilMilliseconds(wait));
  reply(requester, request, std::move(answer), now);
}

bool TargetGate::refuseNow(const GateRequester& requester, const wire::ForwardRequestT& request,
                           TimePoint now) {
  applyReportedStatement(request, now);
  auto reason = refusalReason(request, now);
  if (!reason && isFullFor(request, now)) reason = capacityRefusalReason(now);
  if (!reason) return false;
  refuse(requester, request, *reason, now);
  return true;
}

void TargetGate::admit(const GateRequester& requester, ForwardRequestPointer request, TimePoint now) {
  now_ = now;
  applyReportedStatement(*request, now);
  if (const auto reason = refusalReason(*request, now)) {
    refuse(requester, *request, *reason, now);
    return;
  }
  const TimePoint deadline = now + std::chrono::milliseconds(request->deadline_ms);
  // Queued requests are served first if a rate limit has allowed more since the last event.
  if (cold_start_.isCold(now) || target_limit_.stated().rate()) startWaiting(now);
  recordObjective(*request, now);
  if (yields(*request)) {
    yielding_seen_at_ = now;
  } else {
    non_yielding_load_.onArrival(now);
  }
  if (hasSlotFor(*request, now)) {
    metrics_.waiting_time.note(Duration::zero());
    start(requester, request, deadline, now);
    return;
  }
  if (isFullFor(*request, now)) {
    refuse(requester, *request, capacityRefusalReason(now), now);
    return;
  }
  const QueueKey key = queueKeyOf(*request, now);
  ++next_number_;
  waiting_.emplace(key, QueuedRequest{requester, std::move(request), now, deadline, key.start_by});
}

void TargetGate::start(const GateRequester& requester, const ForwardRequestPointer& request,
                       TimePoint deadline, TimePoint now) {
  const RunId id{next_run_++};
  const bool is_cold = now < target_.coldUntil() || cold_start_.isCold(now);
  running_.emplace(id, RunningRequest{requester, request, now, deadline, is_cold, yields(*request),
                                      target_.incarnation()});
  samples_.recordStart();
  cold_limit_.recordSent(now);
  target_limit_.recordSent(now);
  port_.run({id, request, target_.incarnation().id, deadline - now});
}

void TargetGate::startWaiting(TimePoint now) {
  while (true) {
    const auto first = std::find_if(waiting_.begin(), waiting_.end(), [this, now](const auto& item) {
      return hasSlotFor(*item.second.request, now);
    });
    if (first == waiting_.end()) return;
    const QueuedRequest next = std::move(first->second);
    waiting_.erase(first);
    if (const auto reason = refusalReason(*next.request, now)) {
      refuse(next.requester, *next.request, *reason, now);
    } else if (next.deadline - now < kMinTimeLeft) {
      refuse(next.requester, *next.request, wire::NotRunReason::Deadline, now);
    } else {
      metrics_.waiting_time.note(now - next.arrived_at);
      start(next.requester, next.request, next.deadline, now);
    }
  }
}

void TargetGate::cancel(const GateRequester& requester, TimePoint now) {
  now_ = now;
  std::erase_if(waiting_, [&requester](const auto& item) { return item.second.requester == requester; });
  const auto run = std::find_if(running_.begin(), running_.end(), [&requester](const auto& item) {
    return item.second.requester == requester;
  });
  if (run == running_.end()) return;
  port_.cancel(run->first);
  recordAbandoned(run->second, now);
  running_.erase(run);
  startWaiting(now);
}

void TargetGate::cancelLink(runtime::LinkId link, TimePoint now) {
  now_ = now;
  std::erase_if(waiting_, [link](const auto& item) { return item.second.requester.link == link; });
  std::erase_if(running_, [this, link, now](const auto& item) {
    if (item.second.requester.link != link) return false;
    port_.cancel(item.first);
    recordAbandoned(item.second, now);
    return true;
  });
  startWaiting(now);
}

std::optional<mesh::Incarnation> TargetGate::incarnationOf(RunId id) const {
  const auto run = running_.find(id);
  return run == running_.end() ? std::nullopt : std::optional(run->second.incarnation);
}

void TargetGate::onResult(RunId id, RunResult result, TimePoint now) {
  now_ = now;
  const auto run = running_.find(id);
  if (run == running_.end()) return;
  const RunningRequest finished = run->second;
  running_.erase(run);
  reportToWatch(finished, result, now);
  if (result.statement) {
    recordStatement(*result.statement, finished.incarnation, finished.started, finished.request->request_id,
                    now);
  }
  recordOutcome(finished, result.reply, now);
  recordEnd(finished, result.reply, result.fault, now);
  startWaiting(now);
  reply(finished.requester, *finished.request, std::move(result.reply), now);
}

void TargetGate::onTargetChanged(TimePoint now) {
  now_ = now;
  recordTargetEnd(watch_.onIncarnation(target_.incarnation(), now), now);
  // The cause of the previous incarnation's failed runs, a crash for example, does not apply to the new one.
  if (std::exchange(failure_rate_incarnation_, target_.incarnation()) != target_.incarnation()) {
    failure_rate_ = 0;
    cold_limit_.reset(now);
  }
  target_limit_.follow(target_.incarnation(), now);
  startWaiting(now);
}

void TargetGate::onTimer(TimePoint now) {
  now_ = now;
  if (last_heartbeat_at_ && now >= *last_heartbeat_at_ + TargetState::kHeartbeatTimeout) {
    last_heartbeat_at_.reset();
    presumeCold("no heartbeat", now);
  }
  std::vector<QueuedRequest> expired;
  std::erase_if(waiting_, [&](const auto& item) {
    if (item.second.start_by > now) return false;
    expired.push_back(item.second);
    return true;
  });
  for (const auto& waiting : expired)
    refuse(waiting.requester, *waiting.request, capacityRefusalReason(now), now);
  std::vector<RunningRequest> overdue;
  std::erase_if(running_, [&](const auto& item) {
    if (item.second.deadline + kAnswerGrace > now) return false;
    port_.cancel(item.first);
    recordAbandoned(item.second, now);
    overdue.push_back(item.second);
    return true;
  });
  for (const auto& run : overdue) {
    wire::ForwardReplyT answer;
    answer.outcome = wire::ForwardOutcome::Unknown;
    recordEnd(run, answer, "deadline", now);
    reply(run.requester, *run.request, std::move(answer), now);
  }
  startWaiting(now);
}

TimePoint TargetGate::nextTimer() const {
  TimePoint next = TimePoint::max();
  for (const auto& [key, waiting] : waiting_) next = std::min(next, waiting.start_by);
  for (const auto& [id, run] : running_) next = std::min(next, run.deadline + kAnswerGrace);
  return std::min({next, nextColdTimer(), nextLimitTimer()});
}

}  // namespace cometstand::sidecar

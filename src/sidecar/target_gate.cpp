#include "sidecar/target_gate.h"

#include <algorithm>
#include <utility>

namespace cometstand::sidecar {
namespace {

/// Weight of the newest run in the smoothed run time.
constexpr double kNewest = 0.1;
/// A request with less time left is not worth a slot.
constexpr Duration kLeastTimeLeft = std::chrono::milliseconds(5);
/// How long after a request's deadline the target's own word on it is waited for.
constexpr Duration kAnswerGrace = std::chrono::milliseconds(30);
/// A target with fewer slots keeps none for short requests.
constexpr unsigned kLeastSlotsToKeep = 4;
/// How long an objective counts as one that comes.
constexpr Duration kObjectiveMemory = std::chrono::seconds(2);
constexpr Duration kLeastRetryAfter = std::chrono::milliseconds(10);

}  // namespace

bool TargetGate::isLeaving(TimePoint now) const {
  const bool target_leaves = target_.condition() == TargetCondition::Leaving &&
                             now >= target_.leavingSince() + options_.leaving_grace;
  const bool sidecar_stops = stopping_since_ && now >= *stopping_since_ + options_.leaving_grace;
  return target_leaves || sidecar_stops;
}

std::optional<wire::NotRunReason> TargetGate::refusalOf(const wire::ForwardRequestT& request,
                                                        TimePoint now) const {
  if (target_.condition() == TargetCondition::Unheard) return wire::NotRunReason::TargetDown;
  if (target_.service() != request.service) return wire::NotRunReason::WrongTarget;
  if (isLeaving(now)) return wire::NotRunReason::Leaving;
  return std::nullopt;
}

unsigned TargetGate::slots() const { return std::max(1U, target_.slots()); }

unsigned TargetGate::slotsFor(std::uint32_t objective_ms) const {
  const bool is_long = objective_ms / options_.long_objective_ratio >= shortest_objective_ms_;
  return is_long && slots() >= kLeastSlotsToKeep ? slots() - 1 : slots();
}

void TargetGate::noteObjective(std::uint32_t objective_ms, TimePoint now) {
  if (objective_ms > shortest_objective_ms_ && now < shortest_seen_at_ + kObjectiveMemory) return;
  shortest_objective_ms_ = objective_ms;
  shortest_seen_at_ = now;
}

Duration TargetGate::expectedWait(unsigned priority) const {
  unsigned ahead = 1;
  for (const auto& [place, waiting] : waiting_) {
    if (place.priority <= priority) ++ahead;
  }
  return Duration(static_cast<Duration::rep>(mean_run_time_ * ahead / slots()));
}

void TargetGate::reply(const GateAsker& asker, wire::ForwardReplyT reply) {
  reply.running = running();
  reply.waiting = waiting();
  reply.slots = slots();
  answer_(asker, std::move(reply));
}

void TargetGate::refuse(const GateAsker& asker, wire::NotRunReason reason) {
  wire::ForwardReplyT answer;
  answer.outcome = wire::ForwardOutcome::NotRun;
  answer.reason = reason;
  const Duration wait = std::max(expectedWait(UINT32_MAX), kLeastRetryAfter);
  answer.retry_after_ms = static_cast<std::uint32_t>(ceilMilliseconds(wait));
  reply(asker, std::move(answer));
}

void TargetGate::admit(const GateAsker& asker, ForwardRequestPointer request, TimePoint now) {
  if (const auto reason = refusalOf(*request, now)) {
    refuse(asker, *reason);
    return;
  }
  const Duration left = std::chrono::milliseconds(request->deadline_ms);
  if (left < kLeastTimeLeft) {
    refuse(asker, wire::NotRunReason::Deadline);
    return;
  }
  const TimePoint deadline = now + left;
  noteObjective(request->objective_ms, now);
  if (hasSlotFor(request->objective_ms)) {
    start(asker, request, deadline, now);
    return;
  }
  const Duration patience = std::chrono::milliseconds(request->patience_ms);
  if (expectedWait(request->priority) > patience) {
    refuse(asker, wire::NotRunReason::Full);
    return;
  }
  const TimePoint start_by = std::min(deadline, now + patience);
  const Place place{request->priority, start_by, next_number_++};
  waiting_.emplace(place, Waiting{asker, std::move(request), deadline, start_by});
}

void TargetGate::start(const GateAsker& asker, const ForwardRequestPointer& request, TimePoint deadline,
                       TimePoint now) {
  const RunId id{next_run_++};
  running_.emplace(id, Running{asker, now, deadline});
  port_.run({id, request, target_.instance(), deadline - now});
}

void TargetGate::startWaiting(TimePoint now) {
  while (true) {
    const auto first = std::find_if(waiting_.begin(), waiting_.end(), [this](const auto& item) {
      return hasSlotFor(item.second.request->objective_ms);
    });
    if (first == waiting_.end()) return;
    const Waiting next = std::move(first->second);
    waiting_.erase(first);
    if (const auto reason = refusalOf(*next.request, now)) {
      refuse(next.asker, *reason);
    } else if (next.deadline - now < kLeastTimeLeft) {
      refuse(next.asker, wire::NotRunReason::Deadline);
    } else {
      start(next.asker, next.request, next.deadline, now);
    }
  }
}

void TargetGate::cancel(const GateAsker& asker, TimePoint now) {
  std::erase_if(waiting_, [&asker](const auto& item) { return item.second.asker == asker; });
  const auto run = std::find_if(running_.begin(), running_.end(),
                                [&asker](const auto& item) { return item.second.asker == asker; });
  if (run == running_.end()) return;
  port_.cancel(run->first);
  running_.erase(run);
  startWaiting(now);
}

void TargetGate::cancelLink(runtime::LinkId link, TimePoint now) {
  std::erase_if(waiting_, [link](const auto& item) { return item.second.asker.link == link; });
  std::erase_if(running_, [this, link](const auto& item) {
    if (item.second.asker.link != link) return false;
    port_.cancel(item.first);
    return true;
  });
  startWaiting(now);
}

void TargetGate::onResult(RunId id, RunResult result, TimePoint now) {
  const auto run = running_.find(id);
  if (run == running_.end()) return;
  const Running finished = run->second;
  running_.erase(run);
  if (result.reply.outcome == wire::ForwardOutcome::Answered) {
    const auto time = static_cast<double>((now - finished.started).count());
    mean_run_time_ = mean_run_time_ == 0 ? time : mean_run_time_ + kNewest * (time - mean_run_time_);
  }
  startWaiting(now);
  reply(finished.asker, std::move(result.reply));
}

void TargetGate::onTimer(TimePoint now) {
  std::vector<GateAsker> late;
  std::erase_if(waiting_, [&](const auto& item) {
    if (item.second.start_by > now) return false;
    late.push_back(item.second.asker);
    return true;
  });
  for (const auto& asker : late) refuse(asker, wire::NotRunReason::Full);
  std::vector<GateAsker> overdue;
  std::erase_if(running_, [&](const auto& item) {
    if (item.second.deadline + kAnswerGrace > now) return false;
    port_.cancel(item.first);
    overdue.push_back(item.second.asker);
    return true;
  });
  for (const auto& asker : overdue) {
    wire::ForwardReplyT answer;
    answer.outcome = wire::ForwardOutcome::Unknown;
    reply(asker, std::move(answer));
  }
  startWaiting(now);
}

TimePoint TargetGate::nextTimer() const {
  TimePoint next = TimePoint::max();
  for (const auto& [place, waiting] : waiting_) next = std::min(next, waiting.start_by);
  for (const auto& [id, run] : running_) next = std::min(next, run.deadline + kAnswerGrace);
  return next;
}

}  // namespace cometstand::sidecar

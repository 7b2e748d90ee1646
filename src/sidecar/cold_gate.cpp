#include <algorithm>
#include <utility>

#include "base/event_log.h"
#include "sidecar/events.h"
#include "sidecar/target_gate.h"

/// The part of the gate that limits requests to a cold target.
namespace cometstand::sidecar {

void TargetGate::setColdStart(const mesh::ColdStart& start, TimePoint now) {
  now_ = now;
  warmth_.setColdStart(start);
  if (warmth_.isBounded()) cold_limit_.setRate(start.requests_per_second);
  startWaiting(now);
}

void TargetGate::onHeartbeat(const Heartbeat& beat, TimePoint now) {
  now_ = now;
  // Other heartbeats arrived late, or belong to an instance that has ended.
  const bool is_newest = beat.incarnation == target_.incarnation() && beat.sequence == target_.sequence();
  if (!is_newest) return;
  last_heartbeat_at_ = now;
  const bool is_first = std::exchange(warmth_incarnation_, beat.incarnation) != beat.incarnation;
  if (is_first) {
    warmth_.onNewInstance(beat.cold_remaining, now);
  } else {
    warmth_.onHeartbeat(beat.cold_remaining, now);
  }
}

void TargetGate::onHealth(const TargetHealth& health, TimePoint now) {
  now_ = now;
  if (health.instance.empty() || health.instance != target_.incarnation().id) {
    warmth_.onAnswered(std::nullopt, now);
    return;
  }
  const bool is_first = std::exchange(warmth_incarnation_, target_.incarnation()) != target_.incarnation();
  warmth_.onAnswered(health.cold_remaining, now);
  if (is_first && !health.cold_remaining) doubtWarmth("first answer", now);
  logEvent(kTargetAsked, {{"instance", health.instance},
                          {"says_cold", health.cold_remaining.has_value()},
                          {"cold_ms", ceilMilliseconds(coldTime(now))}});
  startWaiting(now);
}

void TargetGate::onProbed(ProbeOutcome outcome, TimePoint now) {
  now_ = now;
  recordTargetEnd(watch_.onProbed(outcome, now), now);
}

void TargetGate::doubtWarmth(const char* cause, TimePoint now) {
  now_ = now;
  // A target that shuts down, or of which no heartbeat has arrived, gets no requests anyway.
  if (target_.condition() != TargetCondition::Ready || !warmth_.doubt(now)) return;
  logEvent(kTargetDoubted, {{"instance", target_.incarnation().name()},
                            {"cause", cause},
                            {"running", running()},
                            {"cold_ms", ceilMilliseconds(coldTime(now))}});
}

Duration TargetGate::coldTime(TimePoint now) const {
  return warmth_.isCold(now) ? warmth_.coldUntil() - now : Duration::zero();
}

Duration TargetGate::reportedColdTime(TimePoint now) const {
  return warmth_.isBounded() ? std::max(Duration::zero(), warmth_.toldUntil() - now) : Duration::zero();
}

bool TargetGate::startHealthCheckIfDue(TimePoint now) {
  if (target_.condition() != TargetCondition::Ready || !warmth_.takeQuestion(now)) return false;
  // A health check occupies a slot of the target, as a request does.
  cold_limit_.recordSent(now);
  return true;
}

bool TargetGate::isColdLimited(TimePoint now) const {
  return warmth_.isCold(now) && cold_limit_.available(now) == 0;
}

Duration TargetGate::estimateWait(std::size_t ahead, TimePoint now) const {
  const Duration for_slot = estimateSlotWait(ahead);
  if (!warmth_.isCold(now)) return for_slot;
  const TimePoint limit_allows_at = std::min(cold_limit_.nextAvailable(now, ahead), warmth_.coldUntil());
  return std::max(for_slot, limit_allows_at - now);
}

wire::NotRunReason TargetGate::capacityRefusalReason(TimePoint now) const {
  return isColdLimited(now) ? wire::NotRunReason::Cold : wire::NotRunReason::Full;
}

TimePoint TargetGate::nextColdTimer() const {
  TimePoint next = TimePoint::max();
  if (!warmth_.isBounded()) return next;
  if (target_.condition() == TargetCondition::Ready && warmth_.isDoubted(now_)) {
    next = warmth_.nextQuestion();
  }
  if (last_heartbeat_at_) next = std::min(next, *last_heartbeat_at_ + TargetState::kSilence);
  if (waiting_.empty() || !isColdLimited(now_)) return next;
  return std::min({next, cold_limit_.nextAvailable(now_), warmth_.coldUntil()});
}

}  // namespace cometstand::sidecar

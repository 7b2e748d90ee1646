#include <algorithm>
#include <utility>

#include "base/event_log.h"
#include "sidecar/events.h"
#include "sidecar/target_gate.h"

/// What the gate knows of a cold target, and what follows for the requests that it may get.
namespace cometstand::sidecar {

void TargetGate::setColdStart(const mesh::ColdStart& start, TimePoint now) {
  now_ = now;
  warmth_.setColdStart(start);
  if (warmth_.isBounded()) cold_limit_.setRate(start.requests_per_second);
  startWaiting(now);
}

void TargetGate::onHeartbeat(const Heartbeat& beat, TimePoint now) {
  now_ = now;
  // Others came late, or are of an instance that is gone.
  const bool is_newest = beat.incarnation == target_.incarnation() && beat.sequence == target_.sequence();
  if (!is_newest) return;
  beaten_at_ = now;
  const bool is_first = std::exchange(warmth_of_, beat.incarnation) != beat.incarnation;
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
  const bool is_first = std::exchange(warmth_of_, target_.incarnation()) != target_.incarnation();
  warmth_.onAnswered(health.cold_remaining, now);
  if (is_first && !health.cold_remaining) doubtWarmth("first answer", now);
  logEvent(kTargetAsked, {{"instance", health.instance},
                          {"says_cold", health.cold_remaining.has_value()},
                          {"cold_ms", ceilMilliseconds(coldTime(now))}});
  startWaiting(now);
}

void TargetGate::onProbed(ProbeOutcome outcome, TimePoint now) {
  now_ = now;
  noteEndOfTarget(watch_.onProbed(outcome, now), now);
}

void TargetGate::doubtWarmth(const char* cause, TimePoint now) {
  now_ = now;
  // A target that leaves, or was not heard of, gets nothing anyway.
  if (target_.condition() != TargetCondition::Ready || !warmth_.doubt(now)) return;
  logEvent(kTargetDoubted, {{"instance", target_.incarnation().name()},
                            {"cause", cause},
                            {"running", running()},
                            {"cold_ms", ceilMilliseconds(coldTime(now))}});
}

Duration TargetGate::coldTime(TimePoint now) const {
  return warmth_.isCold(now) ? warmth_.coldUntil() - now : Duration::zero();
}

Duration TargetGate::toldColdTime(TimePoint now) const {
  return warmth_.isBounded() ? std::max(Duration::zero(), warmth_.toldUntil() - now) : Duration::zero();
}

bool TargetGate::takeHealthQuestion(TimePoint now) {
  if (target_.condition() != TargetCondition::Ready || !warmth_.takeQuestion(now)) return false;
  // The question takes a slot of the target, as a request does.
  cold_limit_.noteSent(now);
  return true;
}

bool TargetGate::isColdLimited(TimePoint now) const {
  return warmth_.isCold(now) && cold_limit_.room(now) == 0;
}

Duration TargetGate::waitFor(std::size_t ahead, TimePoint now) const {
  const Duration for_slot = expectedWait(ahead);
  if (!warmth_.isCold(now)) return for_slot;
  const TimePoint room = std::min(cold_limit_.nextRoom(now, ahead), warmth_.coldUntil());
  return std::max(for_slot, room - now);
}

wire::NotRunReason TargetGate::reasonForFull(TimePoint now) const {
  return isColdLimited(now) ? wire::NotRunReason::Cold : wire::NotRunReason::Full;
}

TimePoint TargetGate::nextColdTimer() const {
  TimePoint next = TimePoint::max();
  if (!warmth_.isBounded()) return next;
  if (target_.condition() == TargetCondition::Ready && warmth_.isDoubted(now_)) {
    next = warmth_.nextQuestion();
  }
  if (beaten_at_) next = std::min(next, *beaten_at_ + TargetState::kSilence);
  if (waiting_.empty() || !isColdLimited(now_)) return next;
  return std::min({next, cold_limit_.nextRoom(now_), warmth_.coldUntil()});
}

}  // namespace cometstand::sidecar

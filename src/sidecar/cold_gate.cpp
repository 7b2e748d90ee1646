#include <algorithm>
#include <utility>

#include "base/event_log.h"
#include "sidecar/events.h"
#include "sidecar/target_gate.h"

/// The part of the gate that limits requests to a cold target.
namespace cometstand::sidecar {
namespace {

/// A request that waits for a new connection reaches the target up to this much later than it was sent.
constexpr Duration kConnectTime = std::chrono::milliseconds(250);
/// A few requests that arrive together need not wait, and their work still fits into a handful of slots.
constexpr double kMaxColdTokens = 3;

}  // namespace

RateBounds TargetGate::coldBounds(const SidecarOptions& options) {
  return {.window = std::chrono::seconds(1),
          .overshoot = options.cold_overshoot,
          .slack = options.cold_slack,
          .margin = kConnectTime,
          .max_tokens = kMaxColdTokens};
}

void TargetGate::setColdStart(const mesh::ColdStart& start, TimePoint now) {
  now_ = now;
  cold_start_.setColdStart(start);
  if (cold_start_.isBounded()) cold_limit_.setRate(start.requests_per_second);
  startWaiting(now);
}

void TargetGate::onHeartbeat(const Heartbeat& beat, TimePoint now) {
  now_ = now;
  // Other heartbeats arrived late, or belong to an instance that has ended.
  const bool is_newest = beat.incarnation == target_.incarnation() && beat.sequence == target_.sequence();
  if (!is_newest) return;
  last_heartbeat_at_ = now;
  const bool is_first = std::exchange(cold_start_incarnation_, beat.incarnation) != beat.incarnation;
  if (is_first) {
    cold_start_.onNewInstance(beat.cold_remaining, now);
  } else {
    cold_start_.onHeartbeat(beat.cold_remaining, now);
  }
}

void TargetGate::onHealth(const TargetHealth& health, TimePoint now) {
  now_ = now;
  if (health.statement) recordHealthStatement(*health.statement, {health.instance, 0}, now);
  if (health.instance.empty() || health.instance != target_.incarnation().id) {
    cold_start_.onAnswered(std::nullopt, now);
    return;
  }
  const bool is_first =
      std::exchange(cold_start_incarnation_, target_.incarnation()) != target_.incarnation();
  cold_start_.onAnswered(health.cold_remaining, now);
  if (is_first && !health.cold_remaining) presumeCold("first answer", now);
  logEvent(kTargetHealthReceived, {{"instance", health.instance},
                                   {"says_cold", health.cold_remaining.has_value()},
                                   {"cold_ms", ceilMilliseconds(coldTime(now))}});
  startWaiting(now);
}

void TargetGate::onProbed(ProbeOutcome outcome, TimePoint now) {
  now_ = now;
  recordTargetEnd(watch_.onProbed(outcome, now), now);
}

void TargetGate::presumeCold(const char* cause, TimePoint now) {
  now_ = now;
  // A target that shuts down, or of which no heartbeat has arrived, gets no requests anyway.
  if (target_.condition() != TargetCondition::Ready || !cold_start_.presumeCold(now)) return;
  logEvent(kTargetPresumedCold, {{"instance", target_.incarnation().name()},
                                 {"cause", cause},
                                 {"running", running()},
                                 {"cold_ms", ceilMilliseconds(coldTime(now))}});
}

Duration TargetGate::coldTime(TimePoint now) const {
  return cold_start_.isCold(now) ? cold_start_.coldUntil() - now : Duration::zero();
}

Duration TargetGate::reportedColdTime(TimePoint now) const {
  return cold_start_.isBounded() ? std::max(Duration::zero(), cold_start_.reportedColdUntil() - now)
                                 : Duration::zero();
}

bool TargetGate::startHealthCheckIfDue(TimePoint now) {
  if (target_.condition() != TargetCondition::Ready || !cold_start_.startHealthCheckIfDue(now)) return false;
  // A health check occupies a slot of the target, as a request does.
  cold_limit_.recordSent(now);
  target_limit_.recordSent(now);
  return true;
}

bool TargetGate::isColdLimited(TimePoint now) const {
  return cold_start_.isCold(now) && cold_limit_.available(now) == 0;
}

Duration TargetGate::estimateWait(std::size_t ahead, TimePoint now) const {
  const Duration for_slot = std::max(estimateSlotWait(ahead), target_limit_.nextAvailable(now, ahead) - now);
  if (!cold_start_.isCold(now)) return for_slot;
  const TimePoint limit_allows_at = std::min(cold_limit_.nextAvailable(now, ahead), cold_start_.coldUntil());
  return std::max(for_slot, limit_allows_at - now);
}

wire::NotRunReason TargetGate::capacityRefusalReason(TimePoint now) const {
  if (target_limit_.isExhausted(now)) return wire::NotRunReason::Limited;
  return isColdLimited(now) ? wire::NotRunReason::Cold : wire::NotRunReason::Full;
}

TimePoint TargetGate::nextColdTimer() const {
  TimePoint next = TimePoint::max();
  if (!cold_start_.isBounded()) return next;
  if (target_.condition() == TargetCondition::Ready && cold_start_.isPresumedCold(now_)) {
    next = cold_start_.nextHealthCheck();
  }
  if (last_heartbeat_at_) next = std::min(next, *last_heartbeat_at_ + TargetState::kHeartbeatTimeout);
  if (waiting_.empty() || !isColdLimited(now_)) return next;
  return std::min({next, cold_limit_.nextAvailable(now_), cold_start_.coldUntil()});
}

}  // namespace cometstand::sidecar

#include "sidecar/target_state.h"

#include <algorithm>
#include <utility>

namespace cometstand::sidecar {

/// A health check response carries no start time.
bool TargetState::isCurrent(const mesh::Incarnation& incarnation) const {
  return incarnation.matches(beat_.incarnation);
}

bool TargetState::isOlderThanLeft(const mesh::Incarnation& incarnation) const {
  const auto& current = beat_.incarnation;
  const bool is_older = incarnation.id == current.id && incarnation.born_ms < current.born_ms;
  return (is_older && condition_ == TargetCondition::Leaving) || left_.containsLater(incarnation);
}

bool TargetState::maySupersede(const Heartbeat& beat, TimePoint now) {
  const auto& current = beat_.incarnation;
  const bool is_older = beat.incarnation.id == current.id && beat.incarnation.born_ms < current.born_ms;
  const bool is_older_than_left = isOlderThanLeft(beat.incarnation);
  const bool is_superseded = superseded_.contains(beat.incarnation) && condition_ != TargetCondition::Unknown;
  if (!is_older && !is_older_than_left && !is_superseded) return true;
  if (candidate_.incarnation != beat.incarnation) {
    candidate_ = {beat.incarnation, beat.sequence, now};
    return false;
  }
  const bool is_increasing = beat.sequence > std::exchange(candidate_.sequence, beat.sequence);
  TimePoint silent_at = last_heartbeat_at_ + kHeartbeatTimeout;
  if (is_older_than_left) silent_at = std::max(silent_at, candidate_.first_seen_at + kMaxHeartbeatDelay);
  return is_increasing && now >= silent_at;
}

void TargetState::forgetCurrent(const mesh::Incarnation& successor) {
  if (condition_ == TargetCondition::Leaving) {
    left_.add(beat_.incarnation);
  } else if (successor.id == beat_.incarnation.id) {
    past_.add(beat_.incarnation);
  } else if (!past_.contains(beat_.incarnation)) {
    superseded_.add(beat_.incarnation);
    superseded_beat_ = beat_;
  }
  superseded_.remove(successor);
}

bool TargetState::hasLeft(const mesh::Incarnation& incarnation) const {
  const bool is_leaving = condition_ == TargetCondition::Leaving && isCurrent(incarnation);
  return is_leaving || isPast(incarnation);
}

bool TargetState::onHeartbeat(const Heartbeat& beat, TimePoint now) {
  if (isPast(beat.incarnation)) return false;
  const bool is_same = isCurrent(beat.incarnation);
  if (!is_same && !beat.ready && superseded_.contains(beat.incarnation)) {
    superseded_.remove(beat.incarnation);
    left_.add(beat.incarnation);
    return false;
  }
  // A state that comes from a health check has sequence 0.
  const bool is_outdated = is_same && beat_.sequence != 0 && beat.sequence <= beat_.sequence;
  if (is_outdated) return !beat.ready && markLeaving(now);
  if (!is_same && !maySupersede(beat, now)) return false;
  if (!is_same && !beat_.incarnation.empty()) forgetCurrent(beat.incarnation);
  const bool was_leaving = is_same && condition_ == TargetCondition::Leaving;
  const bool changed = beat.incarnation != beat_.incarnation || beat.slots != beat_.slots ||
                       beat.service != beat_.service || beat.version != beat_.version ||
                       (condition_ == TargetCondition::Ready) != beat.ready;
  beat_ = beat;
  last_heartbeat_at_ = now;
  cold_until_ = now + beat.cold_remaining;
  if (was_leaving) return false;
  if (beat.ready) {
    condition_ = TargetCondition::Ready;
  } else {
    markLeaving(now);
  }
  return changed;
}

bool TargetState::onHealthCheckPassed(const std::string& id, const std::string& service, unsigned slots) {
  const bool is_applicable =
      condition_ == TargetCondition::Unknown && !past_.containsId(id) && !left_.containsId(id);
  if (!is_applicable) return false;
  const bool is_superseded = superseded_.contains(superseded_beat_.incarnation);
  if (is_superseded && superseded_beat_.incarnation.id == id) {
    beat_ = superseded_beat_;
    superseded_.remove(beat_.incarnation);
  } else {
    beat_ = {};
    beat_.incarnation.id = id;
    beat_.service = service;
    beat_.slots = slots;
  }
  condition_ = TargetCondition::Ready;
  return true;
}

bool TargetState::markLeaving(TimePoint now) {
  if (condition_ == TargetCondition::Leaving) return false;
  leaving_since_ = now;
  condition_ = TargetCondition::Leaving;
  return true;
}

bool TargetState::onDeregistered(const mesh::Incarnation& incarnation, TimePoint now) {
  if (isCurrent(incarnation)) return markLeaving(now);
  if (isPast(incarnation)) return false;
  if (incarnation.id != beat_.incarnation.id) {
    superseded_.remove(incarnation);
    left_.add(incarnation);
    return false;
  }
  const bool is_silent = now >= last_heartbeat_at_ + kHeartbeatTimeout;
  if (!is_silent) return false;
  forgetCurrent(incarnation);
  beat_.incarnation = incarnation;
  condition_ = TargetCondition::Leaving;
  leaving_since_ = now;
  return true;
}

void TargetState::onLeaveRecovered(const mesh::Incarnation& incarnation, TimePoint now) {
  if (isCurrent(incarnation)) {
    markLeaving(now);
  } else {
    left_.add(incarnation);
  }
}

bool TargetState::onLeavingStated(const mesh::Incarnation& incarnation, TimePoint now) {
  const bool is_news = isCurrent(incarnation) && condition_ == TargetCondition::Ready;
  if (is_news) markLeaving(now);
  return is_news;
}

bool TargetState::onIdMismatch(const mesh::Incarnation& expected) {
  if (expected.empty()) return false;
  if (!isCurrent(expected)) {
    superseded_.remove(expected);
    past_.add(expected);
    return false;
  }
  if (condition_ == TargetCondition::Unknown) return false;
  past_.add(beat_.incarnation);
  condition_ = TargetCondition::Unknown;
  return true;
}

}  // namespace cometstand::sidecar

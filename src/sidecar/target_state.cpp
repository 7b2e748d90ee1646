#include "sidecar/target_state.h"

namespace cometstand::sidecar {

/// What was learned by asking has no time of birth.
bool TargetState::isKnown(const mesh::Incarnation& incarnation) const {
  const auto& known = beat_.incarnation;
  return incarnation == known ||
         (incarnation.id == known.id && (incarnation.born_ms == 0 || known.born_ms == 0));
}

bool TargetState::mayFollow(const Heartbeat& beat, TimePoint now) {
  const auto& known = beat_.incarnation;
  const bool looks_older = beat.incarnation.id == known.id && beat.incarnation.born_ms < known.born_ms;
  if (!looks_older) return true;
  const bool is_rising = doubtful_.incarnation == beat.incarnation && beat.sequence > doubtful_.sequence;
  doubtful_ = {beat.incarnation, beat.sequence};
  return is_rising && now >= heard_at_ + kSilence;
}

bool TargetState::onHeartbeat(const Heartbeat& beat, TimePoint now) {
  if (past_.contains(beat.incarnation)) return false;
  const bool is_same = isKnown(beat.incarnation);
  // What was learned by asking has no sequence.
  if (is_same && beat_.sequence != 0 && beat.sequence <= beat_.sequence) return false;
  if (!is_same && !mayFollow(beat, now)) return false;
  if (!is_same && !beat_.incarnation.empty()) past_.add(beat_.incarnation);
  const bool was_leaving = is_same && condition_ == TargetCondition::Leaving;
  const bool changed = beat.incarnation != beat_.incarnation || beat.slots != beat_.slots ||
                       beat.service != beat_.service || beat.version != beat_.version ||
                       (condition_ == TargetCondition::Ready) != beat.ready;
  beat_ = beat;
  heard_at_ = now;
  cold_until_ = now + beat.cold_remaining;
  if (was_leaving) return false;
  if (beat.ready) {
    condition_ = TargetCondition::Ready;
  } else {
    leave(now);
  }
  return changed;
}

bool TargetState::onReadyWhenAsked(const std::string& id, const std::string& service, unsigned slots) {
  const bool is_news = condition_ == TargetCondition::Unheard && !past_.containsId(id);
  if (!is_news) return false;
  beat_ = {};
  beat_.incarnation.id = id;
  beat_.service = service;
  beat_.slots = slots;
  condition_ = TargetCondition::Ready;
  return true;
}

void TargetState::leave(TimePoint now) {
  if (condition_ != TargetCondition::Leaving) leaving_since_ = now;
  condition_ = TargetCondition::Leaving;
}

bool TargetState::onDeregistered(const mesh::Incarnation& incarnation, TimePoint now) {
  if (!isKnown(incarnation)) {
    past_.add(incarnation);
    return false;
  }
  const bool changed = condition_ != TargetCondition::Leaving;
  leave(now);
  return changed;
}

bool TargetState::onOtherId(const std::string& expected) {
  if (expected != beat_.incarnation.id || condition_ == TargetCondition::Unheard) return false;
  past_.add(beat_.incarnation);
  condition_ = TargetCondition::Unheard;
  return true;
}

}  // namespace cometstand::sidecar

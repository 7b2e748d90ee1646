#include "sidecar/target_state.h"

namespace cometstand::sidecar {

bool TargetState::onHeartbeat(const Heartbeat& beat, TimePoint now) {
  if (past_instances_.contains(beat.instance)) return false;
  const bool is_same = beat.instance == beat_.instance;
  // What was learned by asking has no sequence.
  if (is_same && beat_.sequence != 0 && beat.sequence <= beat_.sequence) return false;
  if (!is_same && !beat_.instance.empty()) past_instances_.insert(beat_.instance);
  const bool was_leaving = is_same && condition_ == TargetCondition::Leaving;
  const bool changed = !is_same || beat.slots != beat_.slots || beat.service != beat_.service ||
                       beat.version != beat_.version || (condition_ == TargetCondition::Ready) != beat.ready;
  beat_ = beat;
  cold_until_ = now + beat.cold_remaining;
  if (was_leaving) return false;
  if (beat.ready) {
    condition_ = TargetCondition::Ready;
  } else {
    leave(now);
  }
  return changed;
}

bool TargetState::onReadyWhenAsked(const std::string& instance, const std::string& service, unsigned slots) {
  const bool is_news = condition_ == TargetCondition::Unheard && !past_instances_.contains(instance);
  if (!is_news) return false;
  beat_ = {};
  beat_.instance = instance;
  beat_.service = service;
  beat_.slots = slots;
  condition_ = TargetCondition::Ready;
  return true;
}

void TargetState::leave(TimePoint now) {
  if (condition_ != TargetCondition::Leaving) leaving_since_ = now;
  condition_ = TargetCondition::Leaving;
}

bool TargetState::onDeregistered(const std::string& instance, TimePoint now) {
  if (instance != beat_.instance) {
    past_instances_.insert(instance);
    return false;
  }
  const bool changed = condition_ != TargetCondition::Leaving;
  leave(now);
  return changed;
}

bool TargetState::onOtherInstance(const std::string& expected) {
  if (expected != beat_.instance || condition_ == TargetCondition::Unheard) return false;
  past_instances_.insert(expected);
  condition_ = TargetCondition::Unheard;
  return true;
}

}  // namespace cometstand::sidecar

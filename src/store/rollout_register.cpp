#include "store/rollout_register.h"

#include <algorithm>
#include <utility>

namespace cometstand::store {
namespace {

using Phase = wire::RolloutPhase;

/// @return true if a roll-out may change from one phase to the other.
bool isTransitionAllowed(Phase from, Phase next) {
  switch (from) {
    case Phase::Canary:
      return next == Phase::Canary || next == Phase::Promoting || next == Phase::RollingBack;
    case Phase::Promoting:
      return next == Phase::Promoting || next == Phase::Succeeded || next == Phase::RollingBack;
    case Phase::RollingBack:
      return next == Phase::RollingBack || next == Phase::RolledBack;
    case Phase::Succeeded:
    case Phase::RolledBack:
      return false;
  }
  return false;
}

}  // namespace

bool isFinished(Phase phase) { return phase == Phase::Succeeded || phase == Phase::RolledBack; }

RolloutPointer RolloutRegister::find(const std::string& service) const {
  const auto found = records_.find(service);
  return found == records_.end() ? nullptr : found->second;
}

bool RolloutRegister::equalsLatest(const wire::RolloutOrderT& order) const {
  const auto latest = find(order.service);
  return latest != nullptr && latest->version == order.version && latest->duration_ms == order.duration_ms;
}

RolloutResult RolloutRegister::apply(const wire::RolloutOrderT& order) {
  const auto latest = find(order.service);
  const bool is_in_progress = latest != nullptr && !isFinished(latest->phase);
  if (equalsLatest(order) && (is_in_progress || order.may_repeat)) return RolloutResult::Accepted;
  if (is_in_progress) return RolloutResult::Conflict;
  auto record = std::make_shared<wire::RolloutRecordT>();
  record->number = ++last_number_;
  record->service = order.service;
  record->version = order.version;
  record->duration_ms = order.duration_ms;
  records_[order.service] = std::move(record);
  ++changes_;
  return RolloutResult::Accepted;
}

RolloutResult RolloutRegister::apply(const wire::RolloutStepT& step) {
  const auto latest = find(step.service);
  const bool is_applicable =
      latest != nullptr && latest->number == step.number && isTransitionAllowed(latest->phase, step.phase);
  if (!is_applicable) return RolloutResult::Stale;
  auto record = std::make_shared<wire::RolloutRecordT>(*latest);
  record->phase = step.phase;
  record->canary_permille = step.canary_permille;
  record->elapsed_ms = std::max(record->elapsed_ms, step.elapsed_ms);
  record->replaced_versions = step.replaced_versions;
  record->reason = step.reason;
  ++record->step;
  records_[step.service] = std::move(record);
  ++changes_;
  return RolloutResult::Accepted;
}

std::shared_ptr<wire::RolloutStateT> RolloutRegister::capture() const {
  if (last_number_ == 0) return nullptr;
  auto state = std::make_shared<wire::RolloutStateT>();
  state->last_number = last_number_;
  for (const auto& [service, record] : records_) {
    state->records.push_back(std::make_shared<wire::RolloutRecordT>(*record));
  }
  return state;
}

void RolloutRegister::restore(const std::shared_ptr<wire::RolloutStateT>& state) {
  records_.clear();
  last_number_ = 0;
  ++changes_;
  if (state == nullptr) return;
  last_number_ = state->last_number;
  for (const auto& record : state->records) records_[record->service] = record;
}

}  // namespace cometstand::store

#include "store/evacuation_register.h"

#include <algorithm>

namespace cometstand::store {

EvacuationResult EvacuationRegister::apply(const wire::EvacuationOrderT& order) {
  if (isEvacuated(order.zone) == order.is_evacuated) return EvacuationResult::Unchanged;
  auto record = std::make_shared<wire::EvacuationRecordT>();
  record->zone = order.zone;
  record->is_evacuated = order.is_evacuated;
  record->number = ++last_number_;
  records_[order.zone] = std::move(record);
  return EvacuationResult::Changed;
}

bool EvacuationRegister::isEvacuated(const std::string& zone) const {
  const auto record = find(zone);
  return record != nullptr && record->is_evacuated;
}

EvacuationRecordPointer EvacuationRegister::find(const std::string& zone) const {
  const auto found = records_.find(zone);
  return found == records_.end() ? nullptr : found->second;
}

std::size_t EvacuationRegister::count() const {
  const auto is_evacuated = [](const auto& item) { return item.second->is_evacuated; };
  return static_cast<std::size_t>(std::count_if(records_.begin(), records_.end(), is_evacuated));
}

wire::EvacuationUpdateT EvacuationRegister::makeUpdate() const {
  wire::EvacuationUpdateT update;
  update.number = last_number_;
  for (const auto& [zone, record] : records_) {
    update.records.push_back(std::make_shared<wire::EvacuationRecordT>(*record));
  }
  return update;
}

std::shared_ptr<wire::EvacuationStateT> EvacuationRegister::capture() const {
  if (last_number_ == 0) return nullptr;
  auto state = std::make_shared<wire::EvacuationStateT>();
  state->last_number = last_number_;
  for (const auto& [zone, record] : records_) {
    state->records.push_back(std::make_shared<wire::EvacuationRecordT>(*record));
  }
  return state;
}

void EvacuationRegister::restore(const std::shared_ptr<wire::EvacuationStateT>& state) {
  records_.clear();
  last_number_ = 0;
  if (state == nullptr) return;
  last_number_ = state->last_number;
  for (const auto& record : state->records) records_[record->zone] = record;
}

}  // namespace cometstand::store

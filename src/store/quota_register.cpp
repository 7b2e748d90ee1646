#include "store/quota_register.h"

namespace cometstand::store {

QuotaLeadershipResult QuotaRegister::apply(const wire::QuotaLeadershipT& record) {
  if (record.generation > state_.generation) {
    state_.generation = record.generation;
    ++state_.live;
  }
  const bool is_newest = record.generation == state_.generation;
  if (is_newest && record.earlier_are_void) state_.live = 1;
  return {state_.live};
}

std::shared_ptr<wire::QuotaLeadershipStateT> QuotaRegister::capture() const {
  if (state_.generation == 0) return nullptr;
  return std::make_shared<wire::QuotaLeadershipStateT>(state_);
}

void QuotaRegister::restore(const std::shared_ptr<wire::QuotaLeadershipStateT>& state) {
  state_ = state == nullptr ? wire::QuotaLeadershipStateT() : *state;
}

}  // namespace cometstand::store

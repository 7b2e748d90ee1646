#include "overload/memory_budget.h"

#include <algorithm>

#include "base/event_log.h"
#include "overload/events.h"
#include "overload/heap.h"

namespace cometstand::overload {

MemoryBudget::Charge& MemoryBudget::Charge::operator=(Charge&& other) noexcept {
  if (this == &other) return *this;
  resize(0);
  budget_ = std::exchange(other.budget_, nullptr);
  bytes_ = std::exchange(other.bytes_, 0);
  return *this;
}

bool MemoryBudget::Charge::tryResize(std::size_t bytes) {
  if (budget_ == nullptr) return true;
  if (bytes > bytes_ && !budget_->hasRoom(bytes_, bytes)) {
    ++budget_->refusals_;
    budget_->askHolders();
    return false;
  }
  // What the heap retains and the new bytes would add up.
  if (bytes > kSmallChargeBytes && bytes > bytes_) budget_->releaseFreed();
  resize(bytes);
  return true;
}

void MemoryBudget::Charge::resize(std::size_t bytes) {
  if (budget_ == nullptr) return;
  const bool grows = bytes > bytes_;
  budget_->replace(bytes_, bytes);
  bytes_ = bytes;
  if (grows && budget_->used_ > budget_->limit_) budget_->askHolders();
}

bool MemoryBudget::hasRoom(std::size_t before, std::size_t after) const {
  const std::size_t least_share = limit_ / kLeastChargesDivisor;
  if (after <= kLeastChargeBytes)
    return used_by_least_ - before + after <= least_share || used_ - before + after <= limit_;
  const std::size_t reserved = after <= kSmallChargeBytes ? least_share : limit_ / kSmallChargesDivisor;
  const std::size_t others = used_ - before;
  return others <= limit_ - reserved && after <= limit_ - reserved - others;
}

void MemoryBudget::replace(std::size_t before, std::size_t after) {
  used_ = used_ - before + after;
  if (before <= kLeastChargeBytes) used_by_least_ -= before;
  if (after <= kLeastChargeBytes) used_by_least_ += after;
  peak_ = std::max(peak_, used_);
}

void MemoryBudget::releaseFreed() {
  if (retained() < limit_ / kRetainedDivisor) return;
  releaseFreeHeap();
  peak_ = used_;
}

void MemoryBudget::askHolders() {
  const TimePoint now = SteadyClock::now();
  if (now < reclaim_again_at_) return;
  reclaim_again_at_ = now + kReclaimInterval;
  logEvent(kMemoryBudgetFull, {{"used_bytes", used_}, {"limit_bytes", limit_}, {"refusals", refusals_}});
  for (auto* holder : holders_) holder->reclaim();
}

}  // namespace cometstand::overload

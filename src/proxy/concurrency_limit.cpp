#include "proxy/concurrency_limit.h"

namespace cometstand::proxy {

void ConcurrencyLimit::setCapacity(unsigned capacity) {
  if (capacity == capacity_) return;
  // A limit that was never cut follows the capacity; a cut one only falls with it and climbs by successes.
  const bool at_capacity = limit_ >= static_cast<double>(capacity_);
  capacity_ = capacity;
  if (at_capacity && !cut_) limit_ = capacity;
  limit_ = std::min(limit_, static_cast<double>(capacity));
}

void ConcurrencyLimit::onSuccess(unsigned in_work) {
  if (in_work < limit()) return;
  limit_ = std::min(static_cast<double>(capacity_), limit_ + 1 / std::max(1.0, limit_));
  if (limit_ >= static_cast<double>(capacity_)) cut_ = false;
}

void ConcurrencyLimit::onOverload(const LimitOptions& options, TimePoint now) {
  if (cut_ && now - last_cut_ < options.cut_interval) return;
  limit_ = std::max(1.0, limit_ * options.cut_factor);
  cut_ = true;
  last_cut_ = now;
}

}  // namespace cometstand::proxy

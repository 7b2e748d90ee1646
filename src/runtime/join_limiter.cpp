#include "runtime/join_limiter.h"

#include <algorithm>

namespace cometstand::runtime {

std::optional<Duration> JoinLimiter::admit(TimePoint now, RandomSource& random) {
  const double elapsed = std::chrono::duration<double>(now - refilled_).count();
  tokens_ = std::min(burst_, tokens_ + std::max(0.0, elapsed) * rate_);
  refilled_ = now;
  if (tokens_ >= 1) {
    tokens_ -= 1;
    return std::nullopt;
  }
  const auto step = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / rate_));
  booked_until_ = std::max(booked_until_, now) + step;
  // Booked times are spread already; the jitter parts those that several limiters booked.
  return booked_until_ - now + random.uniform(Duration::zero(), step);
}

}  // namespace cometstand::runtime

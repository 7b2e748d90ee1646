#pragma once

#include <optional>

#include "base/random.h"
#include "base/time.h"

namespace cometstand::runtime {

/// Token bucket that admits joins. Each refused join books a later time, so that a herd that was refused
/// together comes back spread out at the rate that the bucket refills.
class JoinLimiter {
 public:
  /// @param rate joins a second. @param burst joins at once after a quiet time.
  JoinLimiter(double rate, double burst) : rate_(rate), burst_(burst), tokens_(burst) {}

  /// @return nothing if the join is admitted; else when to come back.
  std::optional<Duration> admit(TimePoint now, RandomSource& random);

 private:
  double rate_;
  double burst_;
  double tokens_;
  TimePoint refilled_;
  TimePoint booked_until_;
};

}  // namespace cometstand::runtime

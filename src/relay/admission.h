#pragma once

#include <optional>
#include <string>

#include "base/random.h"
#include "base/time.h"
#include "schema/objects_generated.h"

namespace cometstand::relay {

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

/// @return true if the token is the node's, or the node asks for none. Takes equal time for all tokens.
bool verifyNodeToken(const wire::NodeSpecT& node, const std::string& token);

}  // namespace cometstand::relay

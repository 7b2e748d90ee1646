#pragma once

#include <optional>

#include "base/time.h"
#include "mesh/incarnation.h"
#include "sidecar/target_port.h"

namespace cometstand::sidecar {

/// The rate limit that the target's current incarnation states in its responses.
///
/// Responses may arrive in another order than the target produced them. A lower limit therefore applies at
/// once, but a higher one, or none, only if its request started after the last response with a lower limit
/// had arrived: it is then newer for sure.
class StatedLimit {
 public:
  /// Sets the target's current incarnation. @return true if it follows another; nothing is known about it
  /// then.
  bool follow(const mesh::Incarnation& incarnation);

  /// Applies the statement of a response.
  /// @param started when the request of the response was sent to the target.
  /// @return true if the limit changed.
  bool onResponse(const TargetStatement& statement, TimePoint started, TimePoint now);

  /// Applies a limit that another sidecar learned from the incarnation, unless a response of the target has
  /// arrived here or a lower limit is known. @return true if the limit changed.
  bool onReported(double rate, TimePoint now);

  /// @return requests per second that the target accepts; unset without a limit.
  const std::optional<double>& rate() const { return rate_; }
  /// @return true if a statement of the target itself has arrived.
  bool hasResponse() const { return has_response_; }
  /// @return when the limit in force was last stated.
  TimePoint statedAt() const { return stated_at_; }

 private:
  bool set(std::optional<double> rate, TimePoint now);

  mesh::Incarnation incarnation_;
  std::optional<double> rate_;
  bool has_response_ = false;
  TimePoint stated_at_;
};

}  // namespace cometstand::sidecar

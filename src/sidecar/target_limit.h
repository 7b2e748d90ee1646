#pragma once

#include <optional>

#include "runtime/process_core.h"
#include "sidecar/limit_turns.h"
#include "sidecar/request_rate_limit.h"
#include "sidecar/stated_limit.h"

namespace cometstand::sidecar {

/// Enforces the rate limit that the target states, over all senders together. Without a limit it permits
/// every request.
class TargetLimit {
 public:
  TargetLimit();

  /// Sets the target's current incarnation.
  void follow(const mesh::Incarnation& incarnation, TimePoint now);
  /// Applies the statement of a response. See StatedLimit::onResponse().
  bool onResponse(const TargetStatement& statement, TimePoint started, TimePoint now);
  /// Applies a limit that another sidecar knows. See StatedLimit::onReported().
  bool onReported(double rate, TimePoint now);
  const StatedLimit& stated() const { return stated_; }

  /// Counts a request that is sent to the target.
  void recordSent(TimePoint now);
  /// @return true if no request may be sent now.
  bool isExhausted(TimePoint now) const { return stated_.rate() && rate_limit_.available(now) == 0; }
  /// @return when the next request may be sent behind `ahead` queued ones; `now` if at once.
  TimePoint nextAvailable(TimePoint now, std::size_t ahead = 0) const;
  /// @return the number of requests that count against the limit now.
  std::size_t sentInWindow(TimePoint now) const { return rate_limit_.sentInWindow(now); }
  /// @return the time until the sender's next request; zero without a limit.
  Duration turnOf(runtime::LinkId sender, TimePoint now);

 private:
  void applyRate();

  StatedLimit stated_;
  RequestRateLimit rate_limit_;
  LimitTurns turns_;
};

}  // namespace cometstand::sidecar

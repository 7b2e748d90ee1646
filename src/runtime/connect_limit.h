#pragma once

#include <algorithm>

#include "base/time.h"

namespace cometstand::runtime {

/// How long a connect may take before it counts as failed.
inline constexpr Duration kConnectTimeLimit = std::chrono::seconds(3);

/// How long the connects to one peer may take: short at first, twice as long after each that failed, up to
/// kConnectTimeLimit. An opening packet that is lost, or comes before the peer's machine is up, is sent again
/// by the kernel only after a second; a new connect is sooner.
class ConnectLimit {
 public:
  /// @return the limit of the next connect.
  Duration next() {
    const Duration limit = limit_;
    limit_ = std::min(limit_ * 2, kConnectTimeLimit);
    return limit;
  }

  /// Call it when a connect succeeded.
  void reset() { limit_ = kFirst; }

 private:
  /// Some round trips between regions, and well below the kernel's second.
  static constexpr Duration kFirst = std::chrono::milliseconds(250);

  Duration limit_ = kFirst;
};

}  // namespace cometstand::runtime

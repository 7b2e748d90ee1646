#pragma once

#include <algorithm>

#include "base/time.h"
#include "proxy/data_path_options.h"

namespace cometstand::proxy {

/// Adaptive limit on the requests that one proxy has in work at one service or endpoint: additive increase
/// while the limit is in use and requests succeed, multiplicative decrease when an endpoint sheds or time
/// runs out. Other proxies use the same slots, so the slots alone are too high a limit. Never above the
/// capacity (the slots that may be used), never below 1. A plain state machine that is handed the time.
class ConcurrencyLimit {
 public:
  /// @param capacity requests that may be in work at most.
  void setCapacity(unsigned capacity);

  /// @return requests that may be in work.
  unsigned limit() const { return std::max(1U, static_cast<unsigned>(limit_)); }

  /// A request succeeded while that many were in work, itself included.
  void onSuccess(unsigned in_work);

  /// An endpoint shed a request, or a request ran out of time.
  void onOverload(const LimitOptions& options, TimePoint now);

 private:
  unsigned capacity_ = 0;
  double limit_ = 0;
  bool cut_ = false;
  TimePoint last_cut_;
};

}  // namespace cometstand::proxy

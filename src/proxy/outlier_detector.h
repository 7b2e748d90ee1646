#pragma once

#include "base/time.h"
#include "proxy/data_path_options.h"

namespace cometstand::proxy {

/// Passive outlier detection for one endpoint: failures in a row eject it for a time that grows with each
/// ejection. Limits over all endpoints of a service are the balancer's. A plain state machine.
class OutlierDetector {
 public:
  void onSuccess();

  /// @param may_eject false if too many endpoints of the service are ejected already.
  /// @return true if this failure ejected the endpoint.
  bool onFailure(const BalancerOptions& options, bool may_eject, TimePoint now);

  bool isEjected(TimePoint now) const { return now < ejected_until_; }

  /// Forgets everything: the endpoint restarted.
  void reset() { *this = OutlierDetector(); }

 private:
  unsigned failures_in_row_ = 0;
  unsigned ejections_ = 0;
  TimePoint ejected_until_;
};

}  // namespace cometstand::proxy

#include "proxy/outlier_detector.h"

#include <algorithm>

namespace cometstand::proxy {

void OutlierDetector::onSuccess() {
  failures_in_row_ = 0;
  if (ejections_ > 0) --ejections_;
}

bool OutlierDetector::onFailure(const BalancerOptions& options, bool may_eject, TimePoint now) {
  ++failures_in_row_;
  if (failures_in_row_ < options.ejection_failures || !may_eject || isEjected(now)) return false;
  ++ejections_;
  ejected_until_ = now + std::min(options.ejection_maximum, options.ejection_base * ejections_);
  // The first failure after the ejection ejects again; successes in between start anew.
  failures_in_row_ = options.ejection_failures - 1;
  return true;
}

}  // namespace cometstand::proxy

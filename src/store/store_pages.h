#pragma once

#include "admin/admin_pages.h"
#include "store/store_core.h"

namespace cometstand::store {

/// Admin pages of one store replica. The replica is ready while it knows a leader to which it can forward
/// commands. It is live unless its disk has failed.
class StorePages : public admin::AdminPages {
 public:
  /// @param core must outlive the pages.
  explicit StorePages(const StoreCore& core) : core_(core) {}

  admin::Health liveness() const override;
  admin::Health readiness() const override;
  void addMetrics(admin::MetricSet& metrics) const override;

 private:
  const StoreCore& core_;
};

}  // namespace cometstand::store

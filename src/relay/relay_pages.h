#pragma once

#include "admin/admin_pages.h"
#include "relay/relay_core.h"

namespace cometstand::relay {

/// The relay's part of the admin pages.
class RelayPages : public admin::AdminPages {
 public:
  /// @param core must outlive the pages.
  explicit RelayPages(const RelayCore& core) : core_(core) {}

  /// True while the relay has the configuration and hears quorum beats.
  admin::Health readiness() const override;
  void addMetrics(admin::MetricSet& metrics) const override;

 private:
  const RelayCore& core_;
};

}  // namespace cometstand::relay

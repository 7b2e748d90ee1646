#pragma once

#include "admin/admin_pages.h"
#include "sidecar/sidecar_core.h"

namespace cometstand::sidecar {

/// The admin pages of a sidecar proxy.
class SidecarPages : public admin::AdminPages {
 public:
  /// @param core must outlive the pages.
  explicit SidecarPages(const SidecarCore& core) : core_(core) {}

  admin::Health liveness() const override { return {true, ""}; }
  admin::Health readiness() const override;
  void addMetrics(admin::MetricSet& metrics) const override;

 private:
  const SidecarCore& core_;
};

}  // namespace cometstand::sidecar

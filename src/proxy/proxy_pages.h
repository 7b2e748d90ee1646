#pragma once

#include "admin/admin_pages.h"
#include "proxy/proxy_process.h"

namespace cometstand::proxy {

/// The proxy's part of the admin pages.
class ProxyPages : public admin::AdminPages {
 public:
  /// @param process must outlive the pages.
  explicit ProxyPages(const ProxyProcess& process) : process_(process) {}

  /// True once a view is in force, until a planned stop begins. A relay need not be reachable: the proxy
  /// serves on by the view that it has.
  admin::Health readiness() const override;
  void addMetrics(admin::MetricSet& metrics) const override;

 private:
  void addControlMetrics(admin::MetricSet& metrics) const;
  void addRequestMetrics(admin::MetricSet& metrics) const;

  const ProxyProcess& process_;
};

}  // namespace cometstand::proxy

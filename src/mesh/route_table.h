#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "mesh/tenant_table.h"
#include "schema/mesh_generated.h"

namespace cometstand::mesh {

/// How the targets of a service start.
struct ColdStart {
  /// Requests a second that a target bears while it is cold; 0 if that has no bound.
  double requests_per_second = 0;
  /// Time from a target's start for which it is cold.
  Duration time = Duration::zero();
};

using RoutePointer = std::shared_ptr<const wire::MeshRouteT>;

/// One configuration, in the form in which requests look it up. Never changed once made.
class RouteTable {
 public:
  RouteTable(std::uint64_t revision, const wire::MeshConfigurationT& configuration);

  std::uint64_t revision() const { return revision_; }
  const wire::CallerLimitsT& limits() const { return limits_; }

  /// @return where the service's endpoints answer for their health; empty if the service is not known.
  std::string healthPath(const std::string& service) const;
  /// @return true if the configuration names the service.
  bool knows(const std::string& service) const { return health_paths_.contains(service); }

  /// @return how the service's targets start; nothing of it is bounded if the service is not known.
  ColdStart coldStart(const std::string& service) const;

  /// @param host as the caller sent it; a port after it is not looked at.
  /// @param path with or without a query.
  /// @return of the host's routes the one with the longest prefix that begins the path; nullptr if there is
  /// none.
  RoutePointer find(std::string_view host, std::string_view path) const;

  /// @return the tenants and their keys, of the same revision as the routes.
  const TenantTable& tenants() const { return tenants_; }

  /// @return the route of that name; nullptr if there is none.
  RoutePointer findByName(const std::string& name) const;

 private:
  std::uint64_t revision_;
  wire::CallerLimitsT limits_;
  TenantTable tenants_;
  /// By host, the longest prefix first.
  std::map<std::string, std::vector<RoutePointer>, std::less<>> routes_;
  std::map<std::string, RoutePointer> by_name_;
  std::map<std::string, std::string> health_paths_;
  std::map<std::string, ColdStart> cold_starts_;
};

using RouteTablePointer = std::shared_ptr<const RouteTable>;

/// Draws the service of one request by the weights of the route's shares.
const std::string& drawService(const wire::MeshRouteT& route, RandomSource& random);

}  // namespace cometstand::mesh

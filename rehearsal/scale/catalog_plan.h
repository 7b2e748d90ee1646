#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/random.h"

namespace cometstand::rehearsal {

/// The configuration of a scale run. Target number i is an endpoint of service i modulo services, runs on
/// node i, and its zone is i modulo zones.
struct CatalogShape {
  std::size_t proxies = 0;
  std::size_t services = 0;
  std::size_t zones = 0;
  /// Tenants, the platform's own among them.
  std::size_t tenants = 200;
  /// Tenants that a node serves: that of its own service, the platform, and neighbours of the first.
  std::size_t tenants_per_node = 3;
};

/// What one change of a scale run touches.
enum class ChangeKind : std::uint8_t { Route, Secret, Service };

/// One change, as text of the command language.
struct PlannedChange {
  ChangeKind kind = ChangeKind::Route;
  std::string tenant;
  std::string text;
  /// Proxies whose view it changes.
  std::size_t fan_out = 0;
};

std::string nodeName(std::size_t index);
std::string zoneName(std::size_t index);

/// Makes the commands that create a scale run's configuration and the changes that follow. The tenant
/// "platform" is served by every node, so that its changes have the largest fan-out.
class CatalogPlan {
 public:
  /// @param backend_ports where the endpoints of consecutive targets are reached on 127.0.0.1; each port
  ///   serves the same number of targets.
  CatalogPlan(const CatalogShape& shape, std::vector<std::uint16_t> backend_ports);

  /// @return the commands that create everything, in order.
  std::vector<std::string> creation() const;

  /// @return the change of this number. @param random picks tenant, kind and values.
  PlannedChange change(std::size_t number, RandomSource& random) const;

  /// @return the number of proxies that hold the tenant's objects.
  std::size_t fanOut(std::size_t tenant) const;

 private:
  std::size_t tenantOfService(std::size_t service) const;
  std::vector<std::size_t> tenantsOfNode(std::size_t node) const;
  std::string tenantName(std::size_t tenant) const;
  std::string putService(std::size_t service, std::size_t slots) const;
  std::string putRoute(std::size_t service, std::size_t timeout_ms) const;
  std::string putSecret(std::size_t tenant, std::uint64_t value) const;
  std::string putNode(std::size_t node) const;
  std::size_t platformServices() const;

  CatalogShape shape_;
  std::vector<std::uint16_t> backend_ports_;
  std::vector<std::vector<std::size_t>> services_of_tenant_;
};

}  // namespace cometstand::rehearsal

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "schema/control_generated.h"

namespace cometstand::rehearsal {

/// Sizes of a made-up configuration.
struct MeshSize {
  unsigned proxies = 640;
  unsigned services = 1600;
  unsigned tenants = 400;
  unsigned endpoints_per_service = 9;
  unsigned tenants_per_node = 8;
  /// Nodes in a row that name the same tenants.
  unsigned nodes_per_tenant_set = 20;
};

using Changes = std::vector<std::shared_ptr<wire::ObjectChangeT>>;

/// Makes the objects of a configuration of the given sizes. Besides the ordinary tenants there are "held-K"
/// tenants with one service each, which the first K nodes name.
class MeshConfiguration {
 public:
  /// @param held the values of K.
  MeshConfiguration(const MeshSize& size, std::vector<unsigned> held);

  /// @return all objects, at version 1.
  Changes objects() const;

  /// @return a put of the tenant's first service with a content that differs from version to version.
  std::shared_ptr<wire::ObjectChangeT> serviceChange(const std::string& tenant, std::uint64_t version) const;

  /// Proxies are in zone 0, endpoints in all zones by turns.
  static std::string zoneName(unsigned index);
  static std::string nodeName(unsigned index);
  static std::string heldTenant(unsigned holders);

 private:
  wire::ServiceSpecT service(std::uint64_t version) const;
  std::vector<std::string> tenantsOf(unsigned node) const;

  MeshSize size_;
  std::vector<unsigned> held_;
};

}  // namespace cometstand::rehearsal

#pragma once

#include <cstdint>
#include <memory>
#include <string_view>
#include <unordered_map>

#include "mesh/content_digest.h"
#include "schema/mesh_generated.h"

namespace cometstand::mesh {

/// @return the name under which a key is kept and compared: the first 128 bits of its SHA-256. Keys are drawn
/// at random by operators, so that a digest tells nothing of its key.
ContentDigest digestOfKey(std::string_view key);

using TenantPointer = std::shared_ptr<const wire::MeshTenantT>;

/// @return one priority for a request, so that the tenant's goes before the route's: the lower the more
/// urgent.
/// @param tenant nullptr for a request on nobody's behalf. It goes first: it is a call of a target, whose run
/// it holds up.
unsigned combinedPriority(const wire::MeshTenantT* tenant, unsigned route_priority);

/// The tenants of one configuration, as requests look them up. Never changed once made.
class TenantTable {
 public:
  explicit TenantTable(const wire::MeshConfigurationT& configuration);

  /// @return true if requests need a key, but on public routes.
  bool requiresKey() const { return requires_key_; }
  /// @return the tenant that holds the key; nullptr if none does.
  TenantPointer findByKey(const ContentDigest& digest) const;

 private:
  bool requires_key_ = false;
  std::unordered_map<ContentDigest, TenantPointer, ContentDigestHash> by_key_;
};

}  // namespace cometstand::mesh

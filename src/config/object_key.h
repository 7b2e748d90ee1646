#pragma once

#include <string>
#include <string_view>

#include "schema/objects_generated.h"

namespace cometstand::config {

/// The reserved tenant: its administrators manage tenants, credentials and nodes. It owns nothing else.
inline constexpr std::string_view kMeshTenant = "mesh";

/// Orders keys by kind, tenant, name.
struct ObjectKeyLess {
  bool operator()(const wire::ObjectKeyT& left, const wire::ObjectKeyT& right) const;
};

/// @return true if both keys name the same object.
bool sameKey(const wire::ObjectKeyT& left, const wire::ObjectKeyT& right);

/// @return a key; the name is empty for a tenant, the tenant is empty for a node.
wire::ObjectKeyT makeKey(wire::ObjectKind kind, std::string tenant, std::string name);

/// @return the kind in lower case, for example "service".
std::string_view objectKindName(wire::ObjectKind kind);

/// @return the key for messages and logs, for example "service shop/checkout".
std::string formatKey(const wire::ObjectKeyT& key);

}  // namespace cometstand::config

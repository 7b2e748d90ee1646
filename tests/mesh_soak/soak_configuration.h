#pragma once

#include <cstddef>
#include <string>

namespace cometstand::platform {

inline constexpr const char* kSoakHost = "shop.example";
/// Key of the tenant without a limit.
inline constexpr const char* kKeptKey = "key-of-kept";
/// Tenants with a limit. Each sends seldom, so that no sidecar holds tokens for it in advance.
inline constexpr std::size_t kSmallTenants = 60;

std::string smallTenantKey(std::size_t tenant);

/// @param added_routes further routes, which make a configuration large.
/// @param removed_tenant the tenant with a limit that this version does not name.
/// @return a configuration with one route to the service of all targets.
std::string soakConfiguration(unsigned version, std::size_t added_routes, std::size_t removed_tenant);

}  // namespace cometstand::platform

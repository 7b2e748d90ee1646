#include "mesh_soak/soak_configuration.h"

#include <fmt/format.h>

namespace cometstand::platform {
namespace {

constexpr const char* kRoute =
    R"("{0}":{{"host":"{1}","path_prefix":"/","kind":"safe","timeout_s":8,"aim_s":1,"priority":1,)"
    R"("service":"shop","max_attempts":2,"public":false}})";
constexpr const char* kTenant = R"("{0}":{{"api_keys":["{1}"],"priority":1,"rate_per_s":{2},"burst":{2}}})";
constexpr unsigned kSmallRate = 20;

}  // namespace

std::string smallTenantKey(std::size_t tenant) { return fmt::format("key-of-small-{}", tenant); }

std::string soakConfiguration(unsigned version, std::size_t added_routes, std::size_t removed_tenant) {
  std::string routes = fmt::format(kRoute, "all", kSoakHost);
  for (std::size_t route = 0; route < added_routes; ++route)
    routes +=
        "," + fmt::format(kRoute, fmt::format("added-{}", route), fmt::format("added-{}.example", route));
  std::string tenants = fmt::format(kTenant, "kept", kKeptKey, 0);
  for (std::size_t tenant = 0; tenant < kSmallTenants; ++tenant) {
    if (tenant == removed_tenant) continue;
    tenants +=
        "," + fmt::format(kTenant, fmt::format("small-{}", tenant), smallTenantKey(tenant), kSmallRate);
  }
  return fmt::format(
      R"({{"version":"r{}","routes":{{{}}},"tenants":{{{}}},)"
      R"("services":{{"shop":{{"health_path":"/health","max_connections":130,"protocol":"h1","tls":false}}}},)"
      R"("limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}}})",
      version, routes, tenants);
}

}  // namespace cometstand::platform

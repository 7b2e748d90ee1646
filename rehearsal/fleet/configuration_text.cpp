#include "rehearsal/fleet/configuration_text.h"

#include <fmt/format.h>
#include <openssl/rand.h>

#include <array>

#include "base/error.h"
#include "config/token.h"
#include "operator/binary_text.h"

namespace cometstand::rehearsal {

namespace {

constexpr std::size_t kSaltBytes = 16;

}  // namespace

HashedToken hashFreshly(const std::string& token) {
  std::vector<std::uint8_t> salt(kSaltBytes);
  if (RAND_bytes(salt.data(), static_cast<int>(salt.size())) != 1) {
    throw Error(ErrorKind::InputOutput, "the system gives no random bytes", "look into the machine's state");
  }
  return {command::encodeHex(salt), command::encodeHex(config::hashToken(salt, token))};
}

std::string meshChange(const Deployment& deployment, const std::vector<OperatorIdentity>& operators,
                       const std::vector<NodeToken>& nodes) {
  std::string text = fmt::format("change {{\n  put tenant {};\n", deployment.tenant);
  for (const auto& one : operators) {
    const HashedToken hashed = hashFreshly(one.token);
    text += fmt::format("  put credential {} tenant {} token_hash {} salt {};\n", one.name, one.tenant,
                        hashed.token_hash, hashed.salt);
  }
  for (const auto& node : nodes) {
    const HashedToken hashed = hashFreshly(node.token);
    text += fmt::format("  put node {} zone {} tenants ({}) token_hash {} salt {};\n", node.proxy->name(),
                        node.proxy->zone(), deployment.tenant, hashed.token_hash, hashed.salt);
  }
  return text + "}";
}

std::string putService(const Deployment& deployment, const PlannedService& service,
                       const std::vector<const Member*>& backends) {
  std::string text = fmt::format("  put service {} {{\n", service.name);
  for (const auto* backend : backends) {
    if (backend->plan().service != service.name) continue;
    text += fmt::format("    endpoint {} at {} zone {} slots {} connections {};\n", backend->name(),
                        backend->port().text(), backend->zone(), deployment.slots, deployment.connections);
  }
  return text + "  };\n";
}

std::string putRoute(const Deployment& deployment, const PlannedRoute& route) {
  std::string text = fmt::format("  put route {} host {} path {} to {}", route.name, deployment.host,
                                 route.requests.path, route.service);
  if (!route.secret.empty()) text += fmt::format(" secret {}", route.secret);
  text +=
      fmt::format(" class {} timeout {}ms", route.request_class, ceilMilliseconds(route.requests.deadline));
  if (route.requests.repeatable) text += " repeatable";
  return text + ";\n";
}

std::string tenantChange(const Deployment& deployment, const std::vector<const Member*>& backends) {
  std::string text = "change {\n";
  text += fmt::format("  put secret {} value \"{}\";\n", deployment.secret_name, deployment.secret_value);
  for (const auto& service : deployment.services) text += putService(deployment, service, backends);
  for (const auto& route : deployment.routes) text += putRoute(deployment, route);
  return text + "}";
}

}  // namespace cometstand::rehearsal

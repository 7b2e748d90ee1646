#include "config/object_check.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/asio/ip/address.hpp>
#include <cstdint>
#include <set>
#include <utility>

#include "base/error.h"
#include "config/limits.h"
#include "config/object_key.h"

namespace cometstand::config {
namespace {

constexpr std::array<std::string_view, 9> kMethods = {"GET",     "HEAD",    "POST",  "PUT",  "DELETE",
                                                      "CONNECT", "OPTIONS", "TRACE", "PATCH"};

bool isLowerOrDigit(char c) { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9'); }

bool isNameCharacter(char c) { return isLowerOrDigit(c) || c == '.' || c == '_' || c == '-'; }

bool isHostCharacter(char c) {
  return isLowerOrDigit(c) || (c >= 'A' && c <= 'Z') || c == '.' || c == '-' || c == ':' || c == '[' ||
         c == ']';
}

/// Visible ASCII: no space, no control character, so that it can stand in an HTTP header.
bool isVisible(char c) { return c > 0x20 && c < 0x7f; }

/// Throws on a wrong field of one object.
class FieldChecker {
 public:
  explicit FieldChecker(const wire::ObjectKeyT& key) : key_(key) {}

  void require(bool holds, std::string_view problem, std::string remedy) const {
    if (!holds) {
      throw Error(ErrorKind::Invalid, fmt::format("{}: {}", formatKey(key_), problem), std::move(remedy));
    }
  }

  void requireName(std::string_view text, std::string_view field) const {
    require(
        isName(text), fmt::format("{} is not a name", field),
        fmt::format("use 1 to {} of a-z, 0-9, '.', '_', '-', the first a letter or digit", kMaxNameBytes));
  }

  void requireRange(std::uint64_t value, std::uint64_t low, std::uint64_t high,
                    std::string_view field) const {
    require(value >= low && value <= high, fmt::format("{} {} is out of range", field, value),
            fmt::format("use {} to {}", low, high));
  }

  void requireCount(std::size_t count, std::size_t most, std::string_view field) const {
    require(count <= most, fmt::format("{} {} are too many", count, field),
            fmt::format("use at most {}", most));
  }

 private:
  const wire::ObjectKeyT& key_;
};

void checkTokenHash(const FieldChecker& checker, std::size_t salt_bytes, std::size_t hash_bytes) {
  checker.require(hash_bytes == kTokenHashBytes, "the token hash has a wrong length",
                  "give the SHA-256 of salt followed by token, 32 bytes");
  checker.requireRange(salt_bytes, kMinSaltBytes, kMaxSaltBytes, "salt length");
}

void checkTenant(const FieldChecker& checker, const wire::TenantSpecT& tenant) {
  checker.requireRange(tenant.max_in_flight, 0, kMaxInFlight, "max_in_flight");
}

void checkCredential(const FieldChecker& checker, const wire::ObjectKeyT& key,
                     const wire::CredentialSpecT& credential) {
  checkTokenHash(checker, credential.salt.size(), credential.token_hash.size());
  checker.require(!credential.administrator || key.tenant == kMeshTenant,
                  "only the tenant mesh has administrators", "create the credential in the tenant mesh");
}

void checkNode(const FieldChecker& checker, const wire::NodeSpecT& node) {
  checker.requireName(node.zone, "zone");
  checker.requireCount(node.tenants.size(), kMaxTenantsPerNode, "tenants");
  std::set<std::string> seen;
  for (const auto& tenant : node.tenants) {
    checker.requireName(tenant, "tenant");
    checker.require(tenant != kMeshTenant, "the tenant mesh has no routes", "name other tenants");
    checker.require(seen.insert(tenant).second, fmt::format("tenant {} is named twice", tenant),
                    "name each tenant once");
  }
  if (!node.token_hash.empty() || !node.salt.empty()) {
    checkTokenHash(checker, node.salt.size(), node.token_hash.size());
  }
}

void checkEndpoint(const FieldChecker& checker, const wire::EndpointSpecT& endpoint) {
  checker.requireName(endpoint.name, "endpoint name");
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(endpoint.address, error);
  checker.require(!error && !address.is_unspecified() && !address.is_multicast(),
                  fmt::format("endpoint {} has no usable IP address", endpoint.name),
                  "give one machine's IPv4 or IPv6 address in text form");
  checker.requireRange(endpoint.port, 1, UINT16_MAX, "endpoint port");
  checker.requireName(endpoint.zone, "endpoint zone");
  checker.requireRange(endpoint.slots, 1, kMaxSlots, "slots");
  checker.requireRange(endpoint.max_connections, 1, kMaxConnections, "max_connections");
}

void checkService(const FieldChecker& checker, const wire::ServiceSpecT& service) {
  checker.requireCount(service.endpoints.size(), kMaxEndpointsPerService, "endpoints");
  std::set<std::string> names;
  std::set<std::pair<std::string, std::uint16_t>> addresses;
  for (const auto& endpoint : service.endpoints) {
    checker.require(endpoint != nullptr, "an endpoint is missing", "send each endpoint whole");
    checkEndpoint(checker, *endpoint);
    checker.require(names.insert(endpoint->name).second,
                    fmt::format("endpoint {} is named twice", endpoint->name), "name each endpoint once");
    checker.require(addresses.emplace(endpoint->address, endpoint->port).second,
                    fmt::format("endpoint {} has the address of another one", endpoint->name),
                    "give each endpoint its own address and port");
  }
}

void checkHost(const FieldChecker& checker, const std::string& host) {
  if (host.empty()) return;
  const bool good = host.size() <= kMaxHostBytes && host.front() != '.' && host.back() != '.' &&
                    std::all_of(host.begin(), host.end(), isHostCharacter);
  checker.require(
      good, "host is not a host name or IP address",
      fmt::format("use at most {} letters, digits, '.', '-', without a dot at either end", kMaxHostBytes));
}

void checkPathPrefix(const FieldChecker& checker, const std::string& path) {
  const auto good_character = [](char c) { return isVisible(c) && c != '?' && c != '#'; };
  const bool good = !path.empty() && path.size() <= kMaxPathBytes && path.front() == '/' &&
                    std::all_of(path.begin(), path.end(), good_character);
  checker.require(
      good, "path prefix is not a path",
      fmt::format("begin with '/', without query, fragment or spaces, at most {} bytes", kMaxPathBytes));
}

void checkRoute(const FieldChecker& checker, const wire::RouteSpecT& route) {
  checkHost(checker, route.host);
  checkPathPrefix(checker, route.path_prefix);
  const bool known_method =
      route.method.empty() || std::find(kMethods.begin(), kMethods.end(), route.method) != kMethods.end();
  checker.require(known_method, "method is not known", "use an HTTP method in upper case, or none for any");
  checker.requireName(route.service, "service");
  if (!route.secret.empty()) checker.requireName(route.secret, "secret");
  checker.requireRange(static_cast<std::uint64_t>(route.request_class), 0,
                       static_cast<std::uint64_t>(wire::RequestClass::MAX), "request class");
  checker.requireRange(route.timeout_ms, 1, kMaxRouteTimeoutMs, "timeout in milliseconds");
  checker.requireRange(route.max_retries, 0, kMaxRetries, "max_retries");
}

void checkSecret(const FieldChecker& checker, const wire::SecretSpecT& secret) {
  checker.requireRange(secret.value.size(), 1, kMaxSecretBytes, "length of the value");
  const bool visible = std::all_of(secret.value.begin(), secret.value.end(),
                                   [](std::uint8_t byte) { return isVisible(static_cast<char>(byte)); });
  checker.require(visible, "the value cannot be sent as a bearer token", "use visible ASCII without spaces");
}

}  // namespace

bool isName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameBytes && isLowerOrDigit(text.front()) &&
         std::all_of(text.begin(), text.end(), isNameCharacter);
}

void checkKey(const wire::ObjectKeyT& key) {
  const FieldChecker checker(key);
  const bool has_tenant = key.kind != wire::ObjectKind::Node;
  const bool has_name = key.kind != wire::ObjectKind::Tenant;
  checker.require(key.kind <= wire::ObjectKind::MAX, "the kind of object is not known",
                  "use a client of this release");
  if (has_tenant) checker.requireName(key.tenant, "tenant");
  if (has_name) checker.requireName(key.name, "name");
  checker.require(has_tenant || key.tenant.empty(), "a node has no tenant", "leave the tenant out");
  checker.require(has_name || key.name.empty(), "a tenant has no further name", "leave the name out");
  const bool is_mesh = key.tenant == kMeshTenant;
  checker.require(!is_mesh || key.kind == wire::ObjectKind::Credential,
                  "the tenant mesh is reserved for administrators' credentials", "use another tenant");
}

void checkObject(const wire::ObjectT& object) {
  const auto& key = *object.key;
  checkKey(key);
  const FieldChecker checker(key);
  const auto wanted = static_cast<std::uint8_t>(key.kind) + 1;
  checker.require(static_cast<std::uint8_t>(object.spec.type) == wanted, "key and content differ in kind",
                  "use a client of this release");
  if (const auto* tenant = object.spec.AsTenantSpec()) checkTenant(checker, *tenant);
  if (const auto* credential = object.spec.AsCredentialSpec()) checkCredential(checker, key, *credential);
  if (const auto* node = object.spec.AsNodeSpec()) checkNode(checker, *node);
  if (const auto* service = object.spec.AsServiceSpec()) checkService(checker, *service);
  if (const auto* route = object.spec.AsRouteSpec()) checkRoute(checker, *route);
  if (const auto* secret = object.spec.AsSecretSpec()) checkSecret(checker, *secret);
}

}  // namespace cometstand::config

#include "config/object_key.h"

#include <fmt/format.h>

#include <tuple>
#include <utility>

namespace cometstand::config {
namespace {

auto asTuple(const wire::ObjectKeyT& key) { return std::tie(key.kind, key.tenant, key.name); }

}  // namespace

bool ObjectKeyLess::operator()(const wire::ObjectKeyT& left, const wire::ObjectKeyT& right) const {
  return asTuple(left) < asTuple(right);
}

bool sameKey(const wire::ObjectKeyT& left, const wire::ObjectKeyT& right) {
  return asTuple(left) == asTuple(right);
}

wire::ObjectKeyT makeKey(wire::ObjectKind kind, std::string tenant, std::string name) {
  wire::ObjectKeyT key;
  key.kind = kind;
  key.tenant = std::move(tenant);
  key.name = std::move(name);
  return key;
}

std::string_view objectKindName(wire::ObjectKind kind) {
  switch (kind) {
    case wire::ObjectKind::Tenant:
      return "tenant";
    case wire::ObjectKind::Credential:
      return "credential";
    case wire::ObjectKind::Node:
      return "node";
    case wire::ObjectKind::Service:
      return "service";
    case wire::ObjectKind::Route:
      return "route";
    case wire::ObjectKind::Secret:
      return "secret";
  }
  return "unrecognized";
}

std::string formatKey(const wire::ObjectKeyT& key) {
  const auto kind = objectKindName(key.kind);
  if (key.kind == wire::ObjectKind::Tenant) return fmt::format("{} {}", kind, key.tenant);
  if (key.kind == wire::ObjectKind::Node) return fmt::format("{} {}", kind, key.name);
  return fmt::format("{} {}/{}", kind, key.tenant, key.name);
}

}  // namespace cometstand::config

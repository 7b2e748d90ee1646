#pragma once

#include <cstdint>
#include <memory>

#include "config/objects.h"
#include "view/object_id.h"
#include "view/view.h"

namespace cometstand::view::test {

/// @return what the operation does, as a change of the given version.
inline ChangePointer changeAt(std::uint64_t version, const config::test::OperationPointer& operation) {
  auto change = std::make_shared<wire::ObjectChangeT>();
  change->key = operation->key;
  change->version = version;
  change->object = operation->object;
  return change;
}

/// A tenant with one service, one secret and one route that needs both, changed by versions 1 to 4.
inline std::vector<ChangePointer> tenantChanges(const std::string& tenant) {
  using namespace config::test;
  return {changeAt(1, putTenant(tenant)), changeAt(2, putService(tenant, "editor-desk")),
          changeAt(3, putSecret(tenant, "token", "secret of " + tenant)),
          changeAt(4, putRoute(tenant, "cues", route(tenant + ".example", "editor-desk", "token")))};
}

inline ChangePointer nodeChange(const std::string& name, const std::vector<std::string>& tenants) {
  return changeAt(1, config::test::putNode(name, tenants));
}

}  // namespace cometstand::view::test

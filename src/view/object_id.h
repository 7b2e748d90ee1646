#pragma once

#include <compare>
#include <memory>
#include <string>

#include "schema/objects_generated.h"

namespace cometstand::view {

/// Identifies one configuration object; the ordered value form of wire::ObjectKeyT.
struct ObjectId {
  wire::ObjectKind kind = wire::ObjectKind::Tenant;
  std::string tenant;
  std::string name;
  friend bool operator==(const ObjectId&, const ObjectId&) = default;
  friend auto operator<=>(const ObjectId&, const ObjectId&) = default;  // NOLINT(modernize-use-nullptr)
};

/// An object at its version, or a tombstone. Shared and never changed after it was made.
using ChangePointer = std::shared_ptr<wire::ObjectChangeT>;

/// @throw Error(Malformed) if the change has no key.
ObjectId objectId(const wire::ObjectChangeT& change);

/// @return true for the kinds of which views consist: tenants, nodes, services, routes and secrets.
bool isViewKind(wire::ObjectKind kind);

}  // namespace cometstand::view

#pragma once

#include <string>

#include "config/catalog.h"
#include "schema/objects_generated.h"

namespace cometstand::config {

/// Who asks for a change.
struct Actor {
  std::string tenant;
  /// An administrator of the reserved tenant; may change every object.
  bool administrator = false;
};

/// Decides whether the catalog may take a transaction. Every check looks at the catalog as it is at the
/// transaction's place in the log, so that all replicas decide alike and accepted versions are always closed:
/// no route without its service and secret, no object without its tenant.
/// @throw Error(Conflict) if if_version is not the current version; Error(Forbidden) if the actor may not
/// touch an object, or a host is another tenant's; Error(Invalid) for wrong fields and for an object named
/// twice; Error(NotFound) for a delete of what is not there; Error(Reference) for a missing or still needed
/// object. The catalog is unchanged.
void checkTransaction(const Catalog& catalog, const Actor& actor, const wire::TransactionT& transaction);

}  // namespace cometstand::config

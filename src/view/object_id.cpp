#include "view/object_id.h"

#include "base/error.h"

namespace cometstand::view {

ObjectId objectId(const wire::ObjectChangeT& change) {
  if (!change.key) {
    throw Error(ErrorKind::Malformed, "a configuration change names no object",
                "run the same release on all processes");
  }
  return {change.key->kind, change.key->tenant, change.key->name};
}

bool isViewKind(wire::ObjectKind kind) { return kind != wire::ObjectKind::Credential; }

}  // namespace cometstand::view

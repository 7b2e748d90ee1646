#include "view/view_builder.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "base/error.h"

namespace cometstand::view {
namespace {

constexpr const char* kReportRemedy =
    "no action is needed: the proxy asks for a snapshot; report it if it repeats";

void checkComplete(const wire::ObjectChangeT& change, const ObjectId& id) {
  const bool is_complete = !change.object || change.object->spec.type != wire::ObjectSpec::NONE;
  if (is_complete && isViewKind(id.kind)) return;
  throw Error(ErrorKind::Malformed,
              fmt::format("object '{}/{}' does not belong into a view", id.tenant, id.name),
              "run the same release on all processes");
}

void checkTenant(const wire::NodeSpecT& node, const ObjectId& id) {
  const auto& tenants = node.tenants;
  if (std::find(tenants.begin(), tenants.end(), id.tenant) != tenants.end()) return;
  throw Error(ErrorKind::Reference,
              fmt::format("the view holds an object of the foreign tenant '{}'", id.tenant), kReportRemedy);
}

void checkRoute(const View& view, const ObjectId& id, const wire::RouteSpecT& route) {
  if (view.service(id.tenant, route.service) == nullptr) {
    throw Error(
        ErrorKind::Reference,
        fmt::format("route '{}/{}' needs the missing service '{}'", id.tenant, id.name, route.service),
        kReportRemedy);
  }
  if (!route.secret.empty() && view.secret(id.tenant, route.secret) == nullptr) {
    throw Error(ErrorKind::Reference,
                fmt::format("route '{}/{}' needs the missing secret '{}'", id.tenant, id.name, route.secret),
                kReportRemedy);
  }
}

const wire::NodeSpecT& requireNode(const View& view) {
  if (view.node() == nullptr) {
    throw Error(ErrorKind::Reference, "the view has no node object", kReportRemedy);
  }
  return *view.node();
}

void checkObject(const View& view, const wire::NodeSpecT& node, const ObjectId& id,
                 const wire::ObjectChangeT& change) {
  if (id.kind == wire::ObjectKind::Node) return;
  checkTenant(node, id);
  const auto* route = change.object->spec.AsRouteSpec();
  if (route != nullptr) checkRoute(view, id, *route);
}

void checkAll(const View& view) {
  const auto& node = requireNode(view);
  for (const auto& [id, change] : view.objects()) checkObject(view, node, id, *change);
}

/// Routes of one tenant stand together in the order of the identities.
void checkRoutesOf(const View& view, const wire::NodeSpecT& node, const std::string& tenant) {
  const auto is_route_of = [&](const ObjectId& id) {
    return id.kind == wire::ObjectKind::Route && id.tenant == tenant;
  };
  auto item = view.objects().lower_bound({wire::ObjectKind::Route, tenant, {}});
  for (; item != view.objects().end() && is_route_of(item->first); ++item) {
    checkObject(view, node, item->first, *item->second);
  }
}

/// Checks what differs from a base that was whole: objects put, and the routes that may miss one deleted.
void checkTouched(const View& view, const std::set<ObjectId>& touched) {
  const auto& node = requireNode(view);
  std::set<std::string> tenants_with_deletions;
  for (const auto& id : touched) {
    const auto found = view.objects().find(id);
    if (found != view.objects().end()) {
      checkObject(view, node, id, *found->second);
    } else {
      tenants_with_deletions.insert(id.tenant);
    }
  }
  for (const auto& tenant : tenants_with_deletions) checkRoutesOf(view, node, tenant);
}

void checkNewer(std::uint64_t base, std::uint64_t offered) {
  if (offered > base) return;
  throw Error(ErrorKind::Conflict, fmt::format("version {} is not newer than version {}", offered, base),
              "no action is needed: the version in use is kept");
}

}  // namespace

ViewBuilder::ViewBuilder(const View& base) : staged_(base), check_all_(base.node() == nullptr) {}

void ViewBuilder::remove(const ObjectId& id) {
  const auto found = staged_.objects_.find(id);
  if (found == staged_.objects_.end()) return;
  if (id.kind == wire::ObjectKind::Node) {
    staged_.node_ = nullptr;
  } else {
    staged_.digest_ -= digestOf(*found->second);
  }
  staged_.objects_.erase(found);
}

void ViewBuilder::apply(const ChangePointer& change) {
  if (!change) throw Error(ErrorKind::Malformed, "an empty change", "run the same release on all processes");
  const ObjectId id = objectId(*change);
  checkComplete(*change, id);
  remove(id);
  if (id.kind == wire::ObjectKind::Node) check_all_ = true;
  if (!check_all_) touched_.insert(id);
  if (!change->object) return;
  if (id.kind == wire::ObjectKind::Node) {
    if (staged_.node_) throw Error(ErrorKind::Reference, "the view has two node objects", kReportRemedy);
    staged_.node_ = change;
  } else {
    staged_.digest_ += digestOf(*change);
  }
  staged_.objects_.emplace(id, change);
}

ViewPointer ViewBuilder::finish(std::uint64_t version) {
  staged_.version_ = version;
  check_all_ ? checkAll(staged_) : checkTouched(staged_, touched_);
  touched_.clear();
  check_all_ = true;
  return std::make_shared<const View>(std::exchange(staged_, View()));
}

ViewPointer ViewBuilder::finish(std::uint64_t version, const DigestSum& expected) {
  if (!(staged_.digest_ == expected)) {
    throw Error(ErrorKind::Corrupt, fmt::format("the digest of version {} differs from the relay's", version),
                kReportRemedy);
  }
  return finish(version);
}

ViewPointer applyDelta(const View& base, const wire::ViewDeltaT& delta) {
  checkNewer(base.version(), delta.to_version);
  if (delta.from_version != base.version()) {
    throw Error(
        ErrorKind::Conflict,
        fmt::format("the delta starts at version {}, the view is at {}", delta.from_version, base.version()),
        kReportRemedy);
  }
  ViewBuilder builder(base);
  for (const auto& change : delta.changes) builder.apply(change);
  return builder.finish(delta.to_version, DigestSum::fromWire(delta.digest.get()));
}

ViewPointer applySnapshot(const View& base, const wire::ViewSnapshotT& snapshot) {
  checkNewer(base.version(), snapshot.version);
  ViewBuilder builder;
  for (const auto& change : snapshot.changes) builder.apply(change);
  return builder.finish(snapshot.version, DigestSum::fromWire(snapshot.digest.get()));
}

ViewPointer selectView(const std::vector<ChangePointer>& objects, const std::string& node,
                       std::uint64_t version) {
  const auto is_node = [&](const ChangePointer& change) {
    return change->key->kind == wire::ObjectKind::Node && change->key->name == node && change->object;
  };
  const auto found = std::find_if(objects.begin(), objects.end(), is_node);
  if (found == objects.end()) {
    throw Error(ErrorKind::NotFound, fmt::format("node '{}' is not in the configuration", node),
                "create the node, or correct the proxy's node name");
  }
  const auto& tenants = (*found)->object->spec.AsNodeSpec()->tenants;
  ViewBuilder builder;
  builder.apply(*found);
  for (const auto& change : objects) {
    if (!isViewKind(change->key->kind) || change->key->kind == wire::ObjectKind::Node) continue;
    if (std::find(tenants.begin(), tenants.end(), change->key->tenant) != tenants.end())
      builder.apply(change);
  }
  return builder.finish(version);
}

}  // namespace cometstand::view

#include "view/view.h"

namespace cometstand::view {

const wire::ObjectT* View::find(const ObjectId& id) const {
  const auto found = objects_.find(id);
  return found == objects_.end() ? nullptr : found->second->object.get();
}

const wire::ServiceSpecT* View::service(std::string_view tenant, std::string_view name) const {
  const auto* object = find({wire::ObjectKind::Service, std::string(tenant), std::string(name)});
  return object == nullptr ? nullptr : object->spec.AsServiceSpec();
}

const wire::SecretSpecT* View::secret(std::string_view tenant, std::string_view name) const {
  const auto* object = find({wire::ObjectKind::Secret, std::string(tenant), std::string(name)});
  return object == nullptr ? nullptr : object->spec.AsSecretSpec();
}

const wire::TenantSpecT* View::tenant(std::string_view name) const {
  const auto* object = find({wire::ObjectKind::Tenant, std::string(name), {}});
  return object == nullptr ? nullptr : object->spec.AsTenantSpec();
}

std::string View::nodeName() const { return node_ ? node_->key->name : std::string(); }

const wire::NodeSpecT* View::node() const { return node_ ? node_->object->spec.AsNodeSpec() : nullptr; }

wire::ViewSnapshotT View::toSnapshot() const {
  wire::ViewSnapshotT snapshot;
  snapshot.version = version_;
  snapshot.as_of = version_;
  snapshot.digest = digest_.toWire();
  snapshot.changes.reserve(objects_.size());
  for (const auto& [id, change] : objects_) snapshot.changes.push_back(change);
  return snapshot;
}

}  // namespace cometstand::view

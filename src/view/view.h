#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "schema/control_generated.h"
#include "view/object_digest.h"
#include "view/object_id.h"

namespace cometstand::view {

/// The part of the configuration that one proxy holds: its node object, and the tenant, service, route and
/// secret objects of the tenants that the node names. Immutable; safe to share among threads. The digest
/// covers the tenants' objects but not the node, so that one delta serves every proxy of the same tenants.
class View {
 public:
  using Objects = std::map<ObjectId, ChangePointer>;

  /// The empty view, at version 0.
  View() = default;

  /// The version of the configuration that this view was taken from; no later one up to the sender's as_of
  /// changed it.
  std::uint64_t version() const { return version_; }
  const DigestSum& digest() const { return digest_; }
  /// Live objects by identity, the node included.
  const Objects& objects() const { return objects_; }

  /// @return the object, or nullptr. The pointer lives as long as the view.
  const wire::ObjectT* find(const ObjectId& id) const;
  const wire::ServiceSpecT* service(std::string_view tenant, std::string_view name) const;
  const wire::SecretSpecT* secret(std::string_view tenant, std::string_view name) const;
  const wire::TenantSpecT* tenant(std::string_view name) const;

  /// @return the node's name; empty in the empty view.
  std::string nodeName() const;
  /// @return the node object's contents, or nullptr in the empty view.
  const wire::NodeSpecT* node() const;

  /// @return the whole view as a message; as_of is the view's own version.
  wire::ViewSnapshotT toSnapshot() const;

 private:
  friend class ViewBuilder;

  std::uint64_t version_ = 0;
  DigestSum digest_;
  Objects objects_;
  ChangePointer node_;
};

using ViewPointer = std::shared_ptr<const View>;

}  // namespace cometstand::view

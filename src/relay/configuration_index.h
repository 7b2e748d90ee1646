#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "schema/control_generated.h"
#include "view/object_digest.h"
#include "view/object_id.h"

namespace cometstand::relay {

/// Tenants whose objects a view holds; sorted and unique. Shared by proxies of equal nodes.
using TenantSet = std::shared_ptr<const std::vector<std::string>>;

/// The configuration as the relay has followed it, arranged by tenant: objects with the version that last
/// changed them, newest tombstones, and each tenant's digest. Credentials are left out, since no view holds
/// them. Not thread-safe.
class ConfigurationIndex {
 public:
  /// What an update touched.
  struct Changed {
    std::set<std::string> tenants;
    std::set<std::string> nodes;
    /// False if the update brought nothing newer.
    bool advanced = false;
  };

  /// Changes with their size on the wire.
  struct Selection {
    std::vector<view::ChangePointer> changes;
    std::size_t bytes = 0;
    /// Highest version among the changes.
    std::uint64_t last_version = 0;
  };

  explicit ConfigurationIndex(std::size_t max_tombstones) : max_tombstones_(max_tombstones) {}

  std::uint64_t version() const { return version_; }

  /// @return the oldest version from which every deletion is known.
  std::uint64_t historyFrom() const { return pruned_version_; }

  /// @return true if every deletion after the version is known.
  bool reaches(std::uint64_t version) const { return version >= pruned_version_; }

  /// @throw Error(Conflict) if the delta starts after the present version; nothing is changed then.
  Changed apply(const wire::ConfigurationDeltaT& delta);
  Changed apply(const wire::ConfigurationSnapshotT& snapshot);

  /// @return the node's object, or nullptr.
  view::ChangePointer node(const std::string& name) const;

  /// @return the tenants that the node names; nullptr if there is no such node.
  TenantSet tenantsOf(const std::string& node);

  /// @return what changed in the tenants after the version, tombstones included. Meaningful if reaches().
  Selection changesSince(const std::vector<std::string>& tenants, std::uint64_t version) const;

  /// @return all live objects of the tenants.
  Selection liveObjects(const std::vector<std::string>& tenants) const;

  /// @return the size on the wire of all live objects of the tenants, in bytes.
  std::size_t liveBytes(const std::vector<std::string>& tenants) const;

  /// @return the digest over all live objects of the tenants.
  view::DigestSum digest(const std::vector<std::string>& tenants) const;

  /// @return every object, node and deletion that is newer than the version; for following relays.
  Selection everythingSince(std::uint64_t version) const;

  /// Calls the function with name and specification of each service of the tenant.
  template <typename Function>
  void forEachService(const std::string& tenant_name, const Function& function) const {
    const auto* group = tenant(tenant_name);
    if (group == nullptr) return;
    for (const auto& [id, entry] : group->entries) {
      if (!entry.change->object) continue;
      const auto* service = entry.change->object->spec.AsServiceSpec();
      if (service != nullptr) function(id.name, *service);
    }
  }

 private:
  struct Entry {
    view::ChangePointer change;
    /// Digest of a live object.
    view::DigestSum digest;
    /// Size on the wire.
    std::size_t bytes = 0;
  };
  /// The objects of one tenant; the nodes form a group of their own.
  struct Group {
    std::map<view::ObjectId, Entry> entries;
    std::multimap<std::uint64_t, view::ObjectId> by_version;
    view::DigestSum digest;
    std::size_t live_bytes = 0;
  };

  static Entry makeEntry(const view::ChangePointer& change);
  bool put(const view::ChangePointer& change, Changed& changed);
  void deleteMissing(const std::set<view::ObjectId>& present, std::uint64_t version, Changed& changed);
  static void eraseVersion(Group& group, std::uint64_t version, const view::ObjectId& id);
  Group& groupOf(const view::ObjectId& id);
  const Group* tenant(const std::string& name) const;
  void pruneTombstones();
  static void selectSince(const Group& group, std::uint64_t version, Selection& selection);
  static void selectLive(const Group& group, Selection& selection);

  std::size_t max_tombstones_;
  std::uint64_t version_ = 0;
  std::uint64_t pruned_version_ = 0;
  std::map<std::string, Group> tenants_;
  Group nodes_;
  std::multimap<std::uint64_t, view::ObjectId> tombstones_;
  /// Equal tenant sets are kept once.
  std::map<std::vector<std::string>, std::weak_ptr<const std::vector<std::string>>> tenant_sets_;
};

}  // namespace cometstand::relay

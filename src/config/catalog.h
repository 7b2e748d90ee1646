#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "config/object_key.h"
#include "config/reference_index.h"
#include "schema/objects_generated.h"

namespace cometstand::config {

using ObjectPointer = std::shared_ptr<const wire::ObjectT>;

/// An object with the version that last changed it; a tombstone has no object.
struct CatalogEntry {
  std::uint64_t version = 0;
  ObjectPointer object;
};

/// All configuration objects, with the version that last changed each, and the newest tombstones.
///
/// Pruning rule: at most `max_tombstones` deletions are remembered. When one more comes, the oldest are
/// forgotten, and deltas from before them are no longer given. The rule depends on the sequence of
/// transactions alone, so that all replicas prune alike. Not thread-safe.
class Catalog {
 public:
  using Entries = std::map<wire::ObjectKeyT, CatalogEntry, ObjectKeyLess>;
  using Changes = std::vector<std::shared_ptr<wire::ObjectChangeT>>;

  /// @param max_tombstones deletions to remember, see limits.h.
  explicit Catalog(std::size_t max_tombstones);
  Catalog();

  /// @return the count of accepted transactions.
  std::uint64_t version() const { return version_; }

  /// @return the oldest version from which changesSince() knows every deletion.
  std::uint64_t prunedVersion() const { return pruned_version_; }

  /// @return the object, or nullptr if there is none.
  ObjectPointer find(const wire::ObjectKeyT& key) const;

  /// @return the version that last changed the object; 0 if there is no such object.
  std::uint64_t versionOf(const wire::ObjectKeyT& key) const;

  /// @return all entries in the order of their keys, tombstones included.
  const Entries& entries() const { return entries_; }

  const ReferenceIndex& references() const { return references_; }

  /// Applies a transaction that checkTransaction() let pass, as one new version.
  /// @return the new version.
  std::uint64_t apply(const wire::TransactionT& transaction);

  /// @return each object changed after the version, in key order; nothing if the version is older than
  /// the pruned tombstones, or newer than the catalog.
  std::optional<Changes> changesSince(std::uint64_t version) const;

  /// @return every living object, in key order: the whole of a snapshot for a follower.
  Changes livingObjects() const;

  /// @return living objects and tombstones, in key order: what restore() takes.
  Changes everything() const;

  /// Replaces the whole content.
  /// @throw Error(Corrupt) if the parts contradict each other.
  void restore(std::uint64_t version, std::uint64_t pruned_version, const Changes& changes);

 private:
  void put(const wire::ObjectKeyT& key, ObjectPointer object, std::uint64_t version);
  void pruneTombstones();

  std::size_t max_tombstones_;
  std::uint64_t version_ = 0;
  std::uint64_t pruned_version_ = 0;
  Entries entries_;
  /// Keys by the version that last changed them.
  std::map<std::uint64_t, std::set<wire::ObjectKeyT, ObjectKeyLess>> changed_at_;
  /// Keys of tombstones by version.
  std::multimap<std::uint64_t, wire::ObjectKeyT> tombstones_;
  ReferenceIndex references_;
};

}  // namespace cometstand::config

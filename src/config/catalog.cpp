#include "config/catalog.h"

#include <utility>

#include "base/error.h"
#include "config/limits.h"

namespace cometstand::config {
namespace {

std::shared_ptr<wire::ObjectChangeT> makeChange(const wire::ObjectKeyT& key, const CatalogEntry& entry) {
  auto change = std::make_shared<wire::ObjectChangeT>();
  change->key = std::make_shared<wire::ObjectKeyT>(key);
  change->version = entry.version;
  // The catalog never changes an object in place, and neither does anyone who gets one.
  change->object = std::const_pointer_cast<wire::ObjectT>(entry.object);
  return change;
}

void requireConsistent(bool consistent) {
  if (consistent) return;
  throw Error(ErrorKind::Corrupt, "the catalog of a snapshot contradicts itself",
              "remove this replica's data folder and join it anew under a new identifier");
}

}  // namespace

Catalog::Catalog(std::size_t max_tombstones) : max_tombstones_(max_tombstones) {}

Catalog::Catalog() : Catalog(kMaxTombstones) {}

ObjectPointer Catalog::find(const wire::ObjectKeyT& key) const {
  const auto found = entries_.find(key);
  return found == entries_.end() ? nullptr : found->second.object;
}

std::uint64_t Catalog::versionOf(const wire::ObjectKeyT& key) const {
  const auto found = entries_.find(key);
  const bool lives = found != entries_.end() && found->second.object != nullptr;
  return lives ? found->second.version : 0;
}

std::uint64_t Catalog::apply(const wire::TransactionT& transaction) {
  ++version_;
  for (const auto& operation : transaction.operations) put(*operation->key, operation->object, version_);
  pruneTombstones();
  return version_;
}

void Catalog::put(const wire::ObjectKeyT& key, ObjectPointer object, std::uint64_t version) {
  auto& entry = entries_[key];
  if (entry.version != 0) {
    const auto old_changes = changed_at_.find(entry.version);
    old_changes->second.erase(key);
    if (old_changes->second.empty()) changed_at_.erase(old_changes);
  }
  if (entry.object != nullptr) {
    references_.remove(*entry.object);
  } else {
    const auto [first, last] = tombstones_.equal_range(entry.version);
    for (auto tombstone = first; tombstone != last; ++tombstone) {
      if (!sameKey(tombstone->second, key)) continue;
      tombstones_.erase(tombstone);
      break;
    }
  }
  if (object != nullptr) {
    references_.add(*object);
  } else {
    tombstones_.emplace(version, key);
  }
  entry = CatalogEntry{version, std::move(object)};
  changed_at_[version].insert(key);
}

void Catalog::pruneTombstones() {
  while (tombstones_.size() > max_tombstones_) {
    const auto oldest = tombstones_.begin();
    pruned_version_ = oldest->first;
    const auto changes = changed_at_.find(oldest->first);
    changes->second.erase(oldest->second);
    if (changes->second.empty()) changed_at_.erase(changes);
    entries_.erase(oldest->second);
    tombstones_.erase(oldest);
  }
}

std::optional<Catalog::Changes> Catalog::changesSince(std::uint64_t version) const {
  if (version < pruned_version_ || version > version_) return std::nullopt;
  std::map<wire::ObjectKeyT, const CatalogEntry*, ObjectKeyLess> changed;
  for (auto at = changed_at_.upper_bound(version); at != changed_at_.end(); ++at) {
    for (const auto& key : at->second) changed.emplace(key, &entries_.at(key));
  }
  Changes changes;
  changes.reserve(changed.size());
  for (const auto& [key, entry] : changed) changes.push_back(makeChange(key, *entry));
  return changes;
}

Catalog::Changes Catalog::livingObjects() const {
  Changes changes;
  for (const auto& [key, entry] : entries_) {
    if (entry.object != nullptr) changes.push_back(makeChange(key, entry));
  }
  return changes;
}

Catalog::Changes Catalog::everything() const {
  Changes changes;
  changes.reserve(entries_.size());
  for (const auto& [key, entry] : entries_) changes.push_back(makeChange(key, entry));
  return changes;
}

void Catalog::restore(std::uint64_t version, std::uint64_t pruned_version, const Changes& changes) {
  requireConsistent(pruned_version <= version);
  Catalog restored(max_tombstones_);
  for (const auto& change : changes) {
    requireConsistent(change != nullptr && change->key != nullptr);
    requireConsistent(change->version > 0 && change->version <= version);
    requireConsistent(change->object == nullptr || change->object->key != nullptr);
    restored.put(*change->key, change->object, change->version);
  }
  restored.version_ = version;
  restored.pruned_version_ = pruned_version;
  *this = std::move(restored);
}

}  // namespace cometstand::config

#include "relay/configuration_index.h"

#include <fmt/format.h>

#include <algorithm>

#include "base/error.h"

namespace cometstand::relay {
namespace {

view::ChangePointer makeTombstone(const view::ObjectId& id, std::uint64_t version) {
  auto change = std::make_shared<wire::ObjectChangeT>();
  change->key = std::make_shared<wire::ObjectKeyT>();
  change->key->kind = id.kind;
  change->key->tenant = id.tenant;
  change->key->name = id.name;
  change->version = version;
  return change;
}

}  // namespace

ConfigurationIndex::Changed ConfigurationIndex::apply(const wire::ConfigurationDeltaT& delta) {
  if (delta.from_version > version_) {
    throw Error(ErrorKind::Conflict,
                fmt::format("a delta starts at version {}, the relay is at {}", delta.from_version, version_),
                "no action is needed: the relay asks again");
  }
  Changed changed;
  if (delta.to_version <= version_) return changed;
  for (const auto& change : delta.changes) {
    if (change && change->version > version_) put(change, changed);
  }
  version_ = delta.to_version;
  changed.advanced = true;
  pruneTombstones();
  return changed;
}

ConfigurationIndex::Changed ConfigurationIndex::apply(const wire::ConfigurationSnapshotT& snapshot) {
  Changed changed;
  if (snapshot.version <= version_) return changed;
  // Deletions that a snapshot leaves out are known only if the relay had an earlier state to compare with.
  if (version_ == 0) pruned_version_ = std::min(snapshot.version, snapshot.history_from);
  std::set<view::ObjectId> present;
  for (const auto& change : snapshot.changes) {
    if (!change) continue;
    present.insert(view::objectId(*change));
    put(change, changed);
  }
  deleteMissing(present, snapshot.version, changed);
  version_ = snapshot.version;
  changed.advanced = true;
  pruneTombstones();
  return changed;
}

void ConfigurationIndex::deleteMissing(const std::set<view::ObjectId>& present, std::uint64_t version,
                                       Changed& changed) {
  std::vector<view::ObjectId> missing;
  const auto collect = [&](const Group& group) {
    for (const auto& [id, entry] : group.entries) {
      if (entry.change->object && !present.contains(id)) missing.push_back(id);
    }
  };
  for (const auto& [name, group] : tenants_) collect(group);
  collect(nodes_);
  for (const auto& id : missing) put(makeTombstone(id, version), changed);
}

ConfigurationIndex::Entry ConfigurationIndex::makeEntry(const view::ChangePointer& change) {
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(wire::ObjectChange::Pack(builder, change.get()));
  return {change, change->object ? view::digestOf(*change) : view::DigestSum(), builder.GetSize()};
}

bool ConfigurationIndex::put(const view::ChangePointer& change, Changed& changed) {
  const view::ObjectId id = view::objectId(*change);
  if (!view::isViewKind(id.kind)) return false;
  Group& group = groupOf(id);
  const auto found = group.entries.find(id);
  if (found != group.entries.end()) {
    const Entry& old = found->second;
    if (old.change->version >= change->version) return false;
    eraseVersion(group, old.change->version, id);
    if (old.change->object) {
      group.digest -= old.digest;
      group.live_bytes -= old.bytes;
    }
  }
  const Entry entry = makeEntry(change);
  group.entries[id] = entry;
  group.by_version.emplace(change->version, id);
  if (change->object) {
    group.digest += entry.digest;
    group.live_bytes += entry.bytes;
  } else {
    tombstones_.emplace(change->version, id);
  }
  const bool is_node = id.kind == wire::ObjectKind::Node;
  (is_node ? changed.nodes : changed.tenants).insert(is_node ? id.name : id.tenant);
  return true;
}

void ConfigurationIndex::eraseVersion(Group& group, std::uint64_t version, const view::ObjectId& id) {
  const auto [first, last] = group.by_version.equal_range(version);
  const auto found = std::find_if(first, last, [&](const auto& item) { return item.second == id; });
  if (found != last) group.by_version.erase(found);
}

ConfigurationIndex::Group& ConfigurationIndex::groupOf(const view::ObjectId& id) {
  return id.kind == wire::ObjectKind::Node ? nodes_ : tenants_[id.tenant];
}

const ConfigurationIndex::Group* ConfigurationIndex::tenant(const std::string& name) const {
  const auto found = tenants_.find(name);
  return found == tenants_.end() ? nullptr : &found->second;
}

void ConfigurationIndex::pruneTombstones() {
  while (tombstones_.size() > max_tombstones_) {
    const auto oldest = tombstones_.begin();
    const auto [version, id] = *oldest;
    tombstones_.erase(oldest);
    Group& group = groupOf(id);
    const auto found = group.entries.find(id);
    const bool is_current = found != group.entries.end() && !found->second.change->object &&
                            found->second.change->version == version;
    if (!is_current) continue;
    eraseVersion(group, version, id);
    group.entries.erase(found);
    pruned_version_ = std::max(pruned_version_, version);
  }
}

view::ChangePointer ConfigurationIndex::node(const std::string& name) const {
  const auto found = nodes_.entries.find({wire::ObjectKind::Node, {}, name});
  const bool is_live = found != nodes_.entries.end() && found->second.change->object;
  return is_live ? found->second.change : nullptr;
}

TenantSet ConfigurationIndex::tenantsOf(const std::string& node_name) {
  const auto change = node(node_name);
  const auto* spec = change ? change->object->spec.AsNodeSpec() : nullptr;
  if (spec == nullptr) return nullptr;
  auto tenants = spec->tenants;
  std::sort(tenants.begin(), tenants.end());
  tenants.erase(std::unique(tenants.begin(), tenants.end()), tenants.end());
  auto& known = tenant_sets_[tenants];
  if (auto shared = known.lock()) return shared;
  auto shared = std::make_shared<const std::vector<std::string>>(std::move(tenants));
  known = shared;
  return shared;
}

void ConfigurationIndex::selectSince(const Group& group, std::uint64_t version, Selection& selection) {
  for (auto item = group.by_version.upper_bound(version); item != group.by_version.end(); ++item) {
    const Entry& entry = group.entries.at(item->second);
    selection.changes.push_back(entry.change);
    selection.bytes += entry.bytes;
    selection.last_version = std::max(selection.last_version, item->first);
  }
}

void ConfigurationIndex::selectLive(const Group& group, Selection& selection) {
  for (const auto& [id, entry] : group.entries) {
    if (!entry.change->object) continue;
    selection.changes.push_back(entry.change);
    selection.bytes += entry.bytes;
    selection.last_version = std::max(selection.last_version, entry.change->version);
  }
}

ConfigurationIndex::Selection ConfigurationIndex::changesSince(const std::vector<std::string>& tenants,
                                                               std::uint64_t version) const {
  Selection selection;
  for (const auto& name : tenants) {
    if (const auto* group = tenant(name)) selectSince(*group, version, selection);
  }
  return selection;
}

ConfigurationIndex::Selection ConfigurationIndex::liveObjects(const std::vector<std::string>& tenants) const {
  Selection selection;
  for (const auto& name : tenants) {
    if (const auto* group = tenant(name)) selectLive(*group, selection);
  }
  return selection;
}

std::size_t ConfigurationIndex::liveBytes(const std::vector<std::string>& tenants) const {
  std::size_t bytes = 0;
  for (const auto& name : tenants) {
    if (const auto* group = tenant(name)) bytes += group->live_bytes;
  }
  return bytes;
}

view::DigestSum ConfigurationIndex::digest(const std::vector<std::string>& tenants) const {
  view::DigestSum digest;
  for (const auto& name : tenants) {
    if (const auto* group = tenant(name)) digest += group->digest;
  }
  return digest;
}

ConfigurationIndex::Selection ConfigurationIndex::everythingSince(std::uint64_t version) const {
  Selection selection;
  for (const auto& [name, group] : tenants_) selectSince(group, version, selection);
  selectSince(nodes_, version, selection);
  return selection;
}

}  // namespace cometstand::relay

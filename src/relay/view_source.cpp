#include "relay/view_source.h"

namespace cometstand::relay {

bool ViewSource::isCurrent(const std::string& node, const TenantSet& tenants, const ViewPosition& position) {
  const auto change = index_.node(node);
  return change && change->version <= position.version && digestOf(tenants) == position.digest;
}

/// Proxies of equal tenants share the work.
const view::DigestSum& ViewSource::digestOf(const TenantSet& tenants) {
  const auto [item, is_new] = digests_.try_emplace(tenants);
  if (is_new) item->second = index_.digest(*tenants);
  return item->second;
}

/// A changed node object may name other tenants, of which the proxy holds nothing: it gets a snapshot.
bool ViewSource::deltaApplies(const std::string& node, const ViewPosition& position) const {
  const auto change = index_.node(node);
  return position.version > 0 && change && change->version <= position.version &&
         index_.reaches(position.version);
}

std::optional<ViewUpdate> ViewSource::updateFor(const std::string& node, const TenantSet& tenants,
                                                const ViewPosition& position, bool snapshot_only) {
  if (!snapshot_only && deltaApplies(node, position)) {
    const DeltaKey key{position.version, tenants};
    auto found = shared_deltas_.find(key);
    if (found == shared_deltas_.end())
      found = shared_deltas_.emplace(key, makeDelta(tenants, position)).first;
    if (found->second) return found->second;
  }
  return makeSnapshot(node, tenants, position);
}

std::optional<ViewUpdate> ViewSource::makeDelta(const TenantSet& tenants, const ViewPosition& position) {
  auto selection = index_.changesSince(*tenants, position.version);
  if (selection.changes.empty() || selection.bytes > index_.liveBytes(*tenants)) return std::nullopt;
  ViewUpdate update;
  update.result = {selection.last_version, digestOf(tenants)};
  wire::ViewDeltaT delta;
  delta.from_version = position.version;
  delta.to_version = selection.last_version;
  delta.digest = update.result.digest.toWire();
  delta.changes = std::move(selection.changes);
  delta.as_of = index_.version();
  update.message = std::make_shared<const wire::EnvelopeT>(runtime::makeEnvelope(std::move(delta)));
  return update;
}

std::optional<ViewUpdate> ViewSource::makeSnapshot(const std::string& node, const TenantSet& tenants,
                                                   const ViewPosition& position) {
  const auto node_change = index_.node(node);
  if (!node_change || index_.version() <= position.version) return std::nullopt;
  ViewUpdate update;
  update.result = {index_.version(), digestOf(tenants)};
  wire::ViewSnapshotT snapshot;
  snapshot.version = index_.version();
  snapshot.digest = update.result.digest.toWire();
  snapshot.changes = index_.liveObjects(*tenants).changes;
  snapshot.changes.push_back(node_change);
  snapshot.as_of = index_.version();
  update.message = std::make_shared<const wire::EnvelopeT>(runtime::makeEnvelope(std::move(snapshot)));
  return update;
}

}  // namespace cometstand::relay

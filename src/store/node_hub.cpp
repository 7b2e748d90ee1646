#include "store/node_hub.h"

#include <algorithm>
#include <utility>

#include "base/event_log.h"
#include "mesh/compression.h"
#include "mesh/configuration.h"
#include "store/events.h"

namespace cometstand::store {
namespace {

/// Also the time for which changed endpoint records are collected.
constexpr Duration kStepInterval = std::chrono::milliseconds(100);
/// Between two beats to a node that takes its configurations from this replica.
constexpr Duration kBeatInterval = std::chrono::milliseconds(300);
/// Between two words on a running roll-out; nodes' leases on it are five times as long.
constexpr Duration kRolloutInterval = std::chrono::milliseconds(300);
/// Between two heartbeats to a node that takes its configurations from another replica. Most of these are in
/// other zones, and every node has a link to every replica: with 20 replicas and 280 nodes, beats each 1.5 s
/// were two fifths of all bytes between zones. Such a node is told at once when this replica loses its leader
/// or hears one again, so the beat only shows that the link works.
constexpr Duration kIdleBeatInterval = std::chrono::seconds(15);
/// Between two lists of all stores to a node that takes its configurations from this replica: a store that
/// was down is found again.
constexpr Duration kStoreListInterval = std::chrono::seconds(5);
/// Nodes answer each beat; one that is silent for this long is taken for dead. The kernel's probes find a
/// dead machine sooner; this finds a process that hangs.
constexpr Duration kNodeSilence = std::chrono::seconds(4);
/// The same for a node that takes its configurations from another replica: two beats may be lost.
constexpr Duration kIdleNodeSilence = std::chrono::seconds(35);
/// How long an endpoint is kept whose node's link has ended: a node links itself again after a short cut.
constexpr Duration kLostEndpointLease = std::chrono::seconds(2);
/// How long it is remembered that such an endpoint was lost: no request runs for longer than a route allows.
constexpr Duration kLostEndpointMemory = std::chrono::milliseconds(mesh::kMaxTimeoutMs);

using runtime::LinkId;

}  // namespace

bool NodeHub::onMessage(LinkId link, const wire::EnvelopeT& message, TimePoint now) {
  if (const auto* hello = message.body.AsNodeHello()) {
    Node node;
    node.name = hello->node;
    node.heard_at = now;
    nodes_[link] = node;
    logEvent(kNodeLinked, {{"node", hello->node}, {"nodes", nodes_.size()}});
    return true;
  }
  const auto node = nodes_.find(link);
  if (node == nodes_.end()) return false;
  node->second.heard_at = now;
  if (const auto* subscribe = message.body.AsNodeSubscribe()) {
    onSubscribe(link, *subscribe);
  } else if (const auto* report = message.body.AsEndpointUpdate()) {
    onReport(link, *report, now);
  }
  return true;
}

void NodeHub::onSubscribe(LinkId link, const wire::NodeSubscribeT& request) {
  auto& node = nodes_.at(link);
  node.subscribed = request.wants_updates;
  if (!node.subscribed) return;
  node.beat_at = TimePoint();
  // First: a node that knows a configuration begins to send requests.
  if (hasRollouts() && isCurrent()) context_.actions.send(link, makeRolloutUpdate());
  if (quarantine().lastNumber() != 0) context_.actions.send(link, quarantine().updateSince(0), 0);
  if (evacuations().lastNumber() != 0) context_.actions.send(link, evacuations().makeUpdate(), 0);
  node.sent_revision = request.have_revision;
  sendConfiguration(link, node);
  wire::EndpointUpdateT update;
  for (const auto& [name, endpoint] : endpoints_) update.records.push_back(endpoint.record);
  context_.actions.send(link, std::move(update), 0);
}

void NodeHub::onReport(LinkId link, const wire::EndpointUpdateT& update, TimePoint /*now*/) {
  for (const auto& record : update.records) {
    auto& endpoint = endpoints_[nodes_.at(link).name];
    // Links are numbered in the order in which they come: a report of an older link of the node is late.
    const bool is_late = endpoint.record != nullptr && link < endpoint.reported_by;
    if (is_late) continue;
    endpoint.reported_by = link;
    endpoint.lost_at.reset();
    endpoint.record = record;
    lost_endpoints_.erase(nodes_.at(link).name);
    announce(record);
  }
}

void NodeHub::sendChanged() {
  if (changed_.empty()) return;
  wire::EndpointUpdateT update;
  update.records = std::exchange(changed_, {});
  const auto message = std::make_shared<const wire::EnvelopeT>(runtime::makeEnvelope(std::move(update)));
  for (const auto& [link, node] : nodes_) {
    if (node.subscribed) context_.actions.send(link, message);
  }
}

runtime::MessagePointer NodeHub::makeUpdate(bool as_patch) const {
  wire::MeshUpdateT update;
  update.revision = revision_;
  update.base_revision = as_patch ? previous_revision_ : 0;
  const std::vector<std::uint8_t> none;
  update.configuration = mesh::compress(configuration_, as_patch ? previous_configuration_ : none);
  return std::make_shared<const wire::EnvelopeT>(runtime::makeEnvelope(std::move(update)));
}

void NodeHub::takeConfiguration() {
  const auto& mesh = context_.state.mesh();
  if (mesh.revision() == revision_) return;
  previous_revision_ = std::exchange(revision_, mesh.revision());
  previous_configuration_ = std::exchange(configuration_, mesh.configuration());
  whole_.reset();
  patch_.reset();
}

void NodeHub::sendConfiguration(LinkId link, Node& node) {
  takeConfiguration();
  if (revision_ <= node.sent_revision) return;
  const bool as_patch = node.sent_revision != 0 && node.sent_revision == previous_revision_;
  auto& update = as_patch ? patch_ : whole_;
  if (update == nullptr) update = makeUpdate(as_patch);
  node.sent_revision = revision_;
  context_.actions.send(link, update);
}

std::optional<std::string> NodeHub::nameOf(LinkId link) const {
  const auto node = nodes_.find(link);
  return node == nodes_.end() ? std::nullopt : std::optional(node->second.name);
}

std::vector<std::pair<std::string, std::shared_ptr<const wire::EndpointRecordT>>> NodeHub::endpointsOf(
    const std::string& service) const {
  std::vector<std::pair<std::string, std::shared_ptr<const wire::EndpointRecordT>>> endpoints;
  for (const auto& [name, endpoint] : endpoints_) {
    if (endpoint.record->service == service) endpoints.emplace_back(name, endpoint.record);
  }
  return endpoints;
}

runtime::MessagePointer NodeHub::makeRolloutUpdate() const {
  wire::RolloutUpdateT update;
  for (const auto& [service, record] : context_.state.rollouts().all()) {
    update.records.push_back(std::make_shared<wire::RolloutRecordT>(*record));
  }
  if (const auto leader = context_.leader()) {
    update.leader = std::make_shared<wire::NetworkEndpointT>();
    update.leader->host = leader->host;
    update.leader->port = leader->port;
  }
  return std::make_shared<const wire::EnvelopeT>(runtime::makeEnvelope(std::move(update)));
}

void NodeHub::sendRollouts(TimePoint now) {
  const auto& rollouts = context_.state.rollouts();
  const auto& all = rollouts.all();
  const bool runs =
      std::any_of(all.begin(), all.end(), [](const auto& item) { return !isOver(item.second->phase); });
  const bool is_due = sent_rollouts_ != rollouts.changes() || (runs && now >= rollouts_at_);
  // Without a leader the state may be old, and the nodes' leases are to end.
  if (!is_due || !isCurrent()) return;
  sent_rollouts_ = rollouts.changes();
  rollouts_at_ = now + kRolloutInterval;
  const auto message = makeRolloutUpdate();
  for (const auto& [link, node] : nodes_) {
    if (node.subscribed) context_.actions.send(link, message);
  }
}

/// A node that has subscribed since the last time was told all then, and passes over what it knows.
void NodeHub::sendQuarantine() {
  if (sent_quarantine_ == quarantine().lastNumber()) return;
  auto update = quarantine().updateSince(sent_quarantine_);
  sent_quarantine_ = update.number;
  if (update.notices.empty() && !update.is_whole) return;
  const auto message = std::make_shared<const wire::EnvelopeT>(runtime::makeEnvelope(std::move(update)));
  for (const auto& [link, node] : nodes_) {
    if (node.subscribed) context_.actions.send(link, message);
  }
}

/// All zones at once: they are few, and a node that missed a change has them right with the next one.
void NodeHub::sendEvacuations() {
  if (sent_evacuations_ == evacuations().lastNumber()) return;
  sent_evacuations_ = evacuations().lastNumber();
  const auto message =
      std::make_shared<const wire::EnvelopeT>(runtime::makeEnvelope(evacuations().makeUpdate()));
  for (const auto& [link, node] : nodes_) {
    if (node.subscribed) context_.actions.send(link, message);
  }
}

void NodeHub::onApplied(TimePoint now) {
  sendRollouts(now);
  sendQuarantine();
  sendEvacuations();
  for (auto& [link, node] : nodes_) {
    if (node.subscribed) sendConfiguration(link, node);
  }
}

void NodeHub::onLinkClosed(LinkId link, TimePoint now) {
  const auto node = nodes_.find(link);
  if (node == nodes_.end()) return;
  logEvent(kNodeLost, {{"node", node->second.name}, {"nodes", nodes_.size() - 1}});
  nodes_.erase(node);
  for (auto& [name, endpoint] : endpoints_) {
    if (endpoint.reported_by == link && !endpoint.lost_at) endpoint.lost_at = now;
  }
}

wire::StoreBeatT NodeHub::makeBeat(bool with_stores) const {
  wire::StoreBeatT beat;
  beat.revision = context_.state.mesh().revision();
  beat.is_current = isCurrent();
  if (!with_stores) return beat;
  for (const auto* replicas : {&membership_.voters, &membership_.learners}) {
    for (const auto& replica : *replicas) {
      auto address = std::make_shared<wire::NetworkEndpointT>();
      address->host = replica->address;
      address->port = replica->port;
      address->zone = replica->zone;
      beat.replicas.push_back(std::move(address));
    }
  }
  return beat;
}

/// Only the nodes that take their configurations from this replica follow the list of stores; all others have
/// it from theirs. A replica without a leader tells everybody who else there is.
bool NodeHub::needsStores(const Node& node, TimePoint now) const {
  if (node.sent_membership != membership_changes_) return node.subscribed || !isCurrent();
  return node.subscribed && now >= node.stores_sent_at + kStoreListInterval;
}

void NodeHub::sendBeats(TimePoint now) {
  const auto membership = context_.consensus.membership();
  if (consensus::encodeMembership(membership) != consensus::encodeMembership(membership_)) {
    membership_ = membership;
    ++membership_changes_;
  }
  const auto brief = std::make_shared<const wire::EnvelopeT>(runtime::makeEnvelope(makeBeat(false)));
  const auto whole = std::make_shared<const wire::EnvelopeT>(runtime::makeEnvelope(makeBeat(true)));
  // Nodes wait for it, or must look for another store.
  const bool has_turned = std::exchange(was_current_, isCurrent()) != was_current_;
  for (auto& [link, node] : nodes_) {
    const bool needs_stores = needsStores(node, now);
    if (!has_turned && !needs_stores && now < node.beat_at) continue;
    node.beat_at = now + (node.subscribed ? kBeatInterval : kIdleBeatInterval);
    if (needs_stores) {
      node.sent_membership = membership_changes_;
      node.stores_sent_at = now;
    }
    context_.actions.send(link, needs_stores ? whole : brief);
  }
}

void NodeHub::closeSilent(TimePoint now) {
  for (const auto& [link, node] : nodes_) {
    const Duration limit = node.subscribed ? kNodeSilence : kIdleNodeSilence;
    if (node.heard_at + limit < now) context_.actions.close(link);
  }
}

void NodeHub::expireEndpoints(TimePoint now) {
  for (auto item = endpoints_.begin(); item != endpoints_.end();) {
    auto& endpoint = item->second;
    if (!endpoint.lost_at || *endpoint.lost_at + kLostEndpointLease > now) {
      ++item;
      continue;
    }
    auto gone = std::make_shared<wire::EndpointRecordT>(*endpoint.record);
    gone->state = wire::EndpointState::Gone;
    announce(std::move(gone));
    lost_endpoints_[item->first] = {endpoint.record, *endpoint.lost_at};
    item = endpoints_.erase(item);
  }
  std::erase_if(lost_endpoints_,
                [now](const auto& lost) { return lost.second.lost_at + kLostEndpointMemory <= now; });
}

void NodeHub::onTimer(TimePoint now) {
  if (now < beat_at_) return;
  beat_at_ = now + kStepInterval;
  closeSilent(now);
  expireEndpoints(now);
  sendRollouts(now);
  sendChanged();
  sendBeats(now);
}

}  // namespace cometstand::store

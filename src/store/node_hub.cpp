#include "store/node_hub.h"

#include <algorithm>
#include <utility>

#include "base/event_log.h"
#include "mesh/compression.h"
#include "mesh/configuration.h"
#include "store/events.h"

namespace cometstand::store {
namespace {

/// Interval of the timer, and the time for which changed endpoint records are batched.
constexpr Duration kTimerInterval = std::chrono::milliseconds(100);
/// Interval of heartbeats to a subscribed node.
constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(300);
/// Interval of updates on a roll-out that is in progress; the nodes' leases on it are five times as long.
constexpr Duration kRolloutUpdateInterval = std::chrono::milliseconds(300);
/// Interval of heartbeats to a node that is subscribed to another replica. Most such nodes are in other
/// zones, and every node has a link to every replica: with 20 replicas and 280 nodes, heartbeats every 1.5 s
/// made up two fifths of all traffic between zones. A node gets a heartbeat at once when this replica loses
/// its leader or has one again, so the periodic heartbeat is needed only to check the link.
constexpr Duration kIdleHeartbeatInterval = std::chrono::seconds(15);
/// Interval at which the list of all stores is sent to a subscribed node, so that the node finds stores again
/// that were down.
constexpr Duration kStoreListInterval = std::chrono::seconds(5);
/// Time without a message after which the link of a subscribed node is closed. Nodes answer each heartbeat.
/// The kernel's keep-alive probes detect a dead machine sooner; this timeout detects a process that hangs.
constexpr Duration kNodeTimeout = std::chrono::seconds(4);
/// Time without a message after which the link of a node that is subscribed to another replica is closed: two
/// heartbeats may be lost.
constexpr Duration kIdleNodeTimeout = std::chrono::seconds(35);
/// Time for which an endpoint is kept after the link of its node was closed: after a short network failure
/// the node reconnects.
constexpr Duration kLostEndpointLease = std::chrono::seconds(2);
/// Time for which a lost endpoint is kept: no request of its target runs for longer than the
/// maximum timeout of a route.
constexpr Duration kLostEndpointRetention = std::chrono::milliseconds(mesh::kMaxTimeoutMs);

using runtime::LinkId;

}  // namespace

bool NodeHub::onMessage(LinkId link, const wire::EnvelopeT& message, TimePoint now) {
  if (const auto* hello = message.body.AsNodeHello()) {
    Node node;
    node.name = hello->node;
    node.last_message_at = now;
    nodes_[link] = node;
    logEvent(kNodeLinked, {{"node", hello->node}, {"nodes", nodes_.size()}});
    return true;
  }
  const auto node = nodes_.find(link);
  if (node == nodes_.end()) return false;
  node->second.last_message_at = now;
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
  node.next_heartbeat_at = TimePoint();
  // Sent before the configuration: a node starts to send requests once it has a configuration.
  if (hasRollouts() && hasLeader()) context_.actions.send(link, makeRolloutUpdate());
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
    // Links are numbered in the order in which they are opened, so a report on an older link is outdated.
    const bool is_outdated = endpoint.record != nullptr && link < endpoint.reported_by;
    if (is_outdated) continue;
    endpoint.reported_by = link;
    endpoint.lost_at.reset();
    endpoint.record = record;
    lost_endpoints_.erase(nodes_.at(link).name);
    queueRecord(record);
  }
}

void NodeHub::sendChangedEndpoints() {
  if (changed_endpoints_.empty()) return;
  wire::EndpointUpdateT update;
  update.records = std::exchange(changed_endpoints_, {});
  const auto message = std::make_shared<const wire::EnvelopeT>(runtime::makeEnvelope(std::move(update)));
  for (const auto& [link, node] : nodes_) {
    if (node.subscribed) context_.actions.send(link, message);
  }
}

runtime::MessagePointer NodeHub::makeConfigurationUpdate(bool as_patch) const {
  wire::MeshUpdateT update;
  update.revision = revision_;
  update.base_revision = as_patch ? previous_revision_ : 0;
  const std::vector<std::uint8_t> empty;
  update.configuration = mesh::compress(configuration_, as_patch ? previous_configuration_ : empty);
  return std::make_shared<const wire::EnvelopeT>(runtime::makeEnvelope(std::move(update)));
}

void NodeHub::refreshConfiguration() {
  const auto& mesh = context_.state.mesh();
  if (mesh.revision() == revision_) return;
  previous_revision_ = std::exchange(revision_, mesh.revision());
  previous_configuration_ = std::exchange(configuration_, mesh.configuration());
  full_update_.reset();
  patch_update_.reset();
}

void NodeHub::sendConfiguration(LinkId link, Node& node) {
  refreshConfiguration();
  if (revision_ <= node.sent_revision) return;
  const bool as_patch = node.sent_revision != 0 && node.sent_revision == previous_revision_;
  auto& update = as_patch ? patch_update_ : full_update_;
  if (update == nullptr) update = makeConfigurationUpdate(as_patch);
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
  const bool is_in_progress =
      std::any_of(all.begin(), all.end(), [](const auto& item) { return !isFinished(item.second->phase); });
  const bool is_due =
      sent_rollouts_ != rollouts.changeCount() || (is_in_progress && now >= next_rollout_update_at_);
  // Without a leader the state may be outdated, so the nodes' leases must expire.
  if (!is_due || !hasLeader()) return;
  sent_rollouts_ = rollouts.changeCount();
  next_rollout_update_at_ = now + kRolloutUpdateInterval;
  const auto message = makeRolloutUpdate();
  for (const auto& [link, node] : nodes_) {
    if (node.subscribed) context_.actions.send(link, message);
  }
}

/// A node that has subscribed since the last call already has the full state and ignores known changes.
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

/// Sends all zones: there are few of them, and a node that missed a change is corrected by the next one.
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

wire::StoreBeatT NodeHub::makeHeartbeat(bool with_store_list) const {
  wire::StoreBeatT heartbeat;
  heartbeat.revision = context_.state.mesh().revision();
  heartbeat.is_current = hasLeader();
  if (!with_store_list) return heartbeat;
  for (const auto* replicas : {&membership_.voters, &membership_.learners}) {
    for (const auto& replica : *replicas) {
      auto address = std::make_shared<wire::NetworkEndpointT>();
      address->host = replica->address;
      address->port = replica->port;
      address->zone = replica->zone;
      heartbeat.replicas.push_back(std::move(address));
    }
  }
  return heartbeat;
}

/// Only subscribed nodes get the list of stores; other nodes get it from the replica that they are subscribed
/// to. A replica without a leader sends the list to all nodes, so that they find another replica.
bool NodeHub::needsStoreList(const Node& node, TimePoint now) const {
  if (node.sent_store_list_version != store_list_version_) return node.subscribed || !hasLeader();
  return node.subscribed && now >= node.store_list_sent_at + kStoreListInterval;
}

void NodeHub::sendHeartbeats(TimePoint now) {
  const auto membership = context_.consensus.membership();
  if (consensus::encodeMembership(membership) != consensus::encodeMembership(membership_)) {
    membership_ = membership;
    ++store_list_version_;
  }
  const auto short_heartbeat =
      std::make_shared<const wire::EnvelopeT>(runtime::makeEnvelope(makeHeartbeat(false)));
  const auto full_heartbeat =
      std::make_shared<const wire::EnvelopeT>(runtime::makeEnvelope(makeHeartbeat(true)));
  // Sent to all nodes at once: they wait for a replica with a leader, or must find another replica.
  const bool leader_state_changed = std::exchange(had_leader_, hasLeader()) != had_leader_;
  for (auto& [link, node] : nodes_) {
    const bool needs_store_list = needsStoreList(node, now);
    if (!leader_state_changed && !needs_store_list && now < node.next_heartbeat_at) continue;
    node.next_heartbeat_at = now + (node.subscribed ? kHeartbeatInterval : kIdleHeartbeatInterval);
    if (needs_store_list) {
      node.sent_store_list_version = store_list_version_;
      node.store_list_sent_at = now;
    }
    context_.actions.send(link, needs_store_list ? full_heartbeat : short_heartbeat);
  }
}

void NodeHub::closeUnresponsiveNodes(TimePoint now) {
  for (const auto& [link, node] : nodes_) {
    const Duration limit = node.subscribed ? kNodeTimeout : kIdleNodeTimeout;
    if (node.last_message_at + limit < now) context_.actions.close(link);
  }
}

void NodeHub::expireEndpoints(TimePoint now) {
  for (auto item = endpoints_.begin(); item != endpoints_.end();) {
    auto& endpoint = item->second;
    if (!endpoint.lost_at || *endpoint.lost_at + kLostEndpointLease > now) {
      ++item;
      continue;
    }
    auto removed = std::make_shared<wire::EndpointRecordT>(*endpoint.record);
    removed->state = wire::EndpointState::Gone;
    queueRecord(std::move(removed));
    lost_endpoints_[item->first] = {endpoint.record, *endpoint.lost_at};
    item = endpoints_.erase(item);
  }
  std::erase_if(lost_endpoints_,
                [now](const auto& lost) { return lost.second.lost_at + kLostEndpointRetention <= now; });
}

void NodeHub::onTimer(TimePoint now) {
  if (now < next_timer_at_) return;
  next_timer_at_ = now + kTimerInterval;
  closeUnresponsiveNodes(now);
  expireEndpoints(now);
  sendRollouts(now);
  sendChangedEndpoints();
  sendHeartbeats(now);
}

}  // namespace cometstand::store

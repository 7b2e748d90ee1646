#include "store/node_hub.h"

#include <utility>

#include "base/event_log.h"
#include "store/events.h"

namespace cometstand::store {
namespace {

constexpr Duration kBeatInterval = std::chrono::milliseconds(300);
/// Nodes answer each beat; one that is silent for this long is taken for dead.
constexpr Duration kNodeSilence = std::chrono::milliseconds(2'500);
/// How long an endpoint is kept whose node's link has ended: a node links itself again after a short cut.
constexpr Duration kLostEndpointLease = std::chrono::seconds(2);

using runtime::LinkId;

}  // namespace

bool NodeHub::onMessage(LinkId link, const wire::EnvelopeT& message, TimePoint now) {
  if (const auto* hello = message.body.AsNodeHello()) {
    nodes_[link] = {hello->node, now, false, 0};
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
  node.subscribed = true;
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
    broadcast(record);
  }
}

void NodeHub::broadcast(const std::shared_ptr<wire::EndpointRecordT>& record) {
  wire::EndpointUpdateT update;
  update.records.push_back(record);
  const auto message = std::make_shared<const wire::EnvelopeT>(runtime::makeEnvelope(std::move(update)));
  for (const auto& [link, node] : nodes_) {
    if (node.subscribed) context_.actions.send(link, message);
  }
}

void NodeHub::sendConfiguration(LinkId link, Node& node) {
  const auto& mesh = context_.state.mesh();
  if (mesh.revision() <= node.sent_revision) return;
  if (update_revision_ != mesh.revision() || update_ == nullptr) {
    wire::MeshUpdateT update;
    update.revision = mesh.revision();
    update.configuration = mesh.configuration();
    update_ = std::make_shared<const wire::EnvelopeT>(runtime::makeEnvelope(std::move(update)));
    update_revision_ = mesh.revision();
  }
  node.sent_revision = mesh.revision();
  context_.actions.send(link, update_);
}

void NodeHub::onApplied() {
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

void NodeHub::sendBeats() {
  const auto leadership = context_.consensus.leadership();
  wire::StoreBeatT beat;
  beat.revision = context_.state.mesh().revision();
  beat.is_current = leadership.leader != 0;
  const auto membership = context_.consensus.membership();
  for (const auto* replicas : {&membership.voters, &membership.learners}) {
    for (const auto& replica : *replicas) {
      auto address = std::make_shared<wire::NetworkEndpointT>();
      address->host = replica->address;
      address->port = replica->port;
      address->zone = replica->zone;
      beat.replicas.push_back(std::move(address));
    }
  }
  const auto message = std::make_shared<const wire::EnvelopeT>(runtime::makeEnvelope(std::move(beat)));
  for (const auto& [link, node] : nodes_) context_.actions.send(link, message);
}

void NodeHub::closeSilent(TimePoint now) {
  for (const auto& [link, node] : nodes_) {
    if (node.heard_at + kNodeSilence < now) context_.actions.close(link);
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
    broadcast(gone);
    item = endpoints_.erase(item);
  }
}

void NodeHub::onTimer(TimePoint now) {
  if (now < beat_at_) return;
  beat_at_ = now + kBeatInterval;
  closeSilent(now);
  expireEndpoints(now);
  sendBeats();
}

}  // namespace cometstand::store

#include "memory_network.h"

#include <algorithm>

namespace cometstand::store::test {

using runtime::LinkId;

namespace {

constexpr Duration kDelay = std::chrono::milliseconds(1);
constexpr std::uint16_t kFirstPort = 100;

}  // namespace

std::optional<std::vector<std::uint8_t>> MemoryFiles::read(const std::string& file) const {
  const auto found = files_.find(file);
  return found == files_.end() ? std::nullopt : std::optional(found->second);
}

std::vector<std::string> MemoryFiles::list() const {
  std::vector<std::string> names;
  for (const auto& [name, bytes] : files_) names.push_back(name);
  return names;
}

void MemoryFiles::apply(const runtime::FileWrite& write) {
  auto& bytes = files_[write.file];
  if (write.mode != runtime::FileWriteMode::Append) bytes.clear();
  bytes.insert(bytes.end(), write.bytes.begin(), write.bytes.end());
  if (write.mode == runtime::FileWriteMode::Remove) files_.erase(write.file);
}

MemoryNetwork::MemoryNetwork(std::size_t voters, std::uint64_t seed) : seed_(seed) {
  for (std::size_t i = 0; i < voters; ++i) addReplica(i + 1);
  std::vector<wire::ReplicaT> first;
  for (const auto& node : nodes_) first.push_back(node.options.self);
  for (auto& node : nodes_) {
    node.options.initial_voters = first;
    node.options.bootstrap = true;
  }
}

MemoryNetwork::ReplicaIndex MemoryNetwork::addReplica(std::uint64_t id) {
  const ReplicaIndex index = nodes_.size();
  auto& node = nodes_.emplace_back();
  node.options.self.id = id;
  node.options.self.name = "store-" + std::to_string(id);
  node.options.self.address = "127.0.0.1";
  node.options.self.port = static_cast<std::uint16_t>(kFirstPort + index);
  return index;
}

void MemoryNetwork::start(ReplicaIndex index) {
  auto& node = nodes_.at(index);
  node.core = std::make_unique<StoreCore>(node.options, seed_ * 1000 + index * 100 + node.incarnation);
  node.core->start(node.files, now_);
  performActions(index);
}

void MemoryNetwork::startAll() {
  for (ReplicaIndex i = 0; i < nodes_.size(); ++i) start(i);
}

void MemoryNetwork::crash(ReplicaIndex index) {
  auto& node = nodes_.at(index);
  node.core.reset();
  ++node.incarnation;
  node.deferred_events.clear();
  node.frozen = false;
  while (!node.links.empty()) closeLink(index, node.links.begin()->first);
}

void MemoryNetwork::thaw(ReplicaIndex index) {
  auto& node = nodes_.at(index);
  node.frozen = false;
  // Deliver the events that were deferred while the process was frozen.
  for (auto& event : std::exchange(node.deferred_events, {})) event();
}

void MemoryNetwork::beginStop(ReplicaIndex index) {
  deliver(index, nodes_.at(index).incarnation, [this](StoreCore& core) { core.beginStop(now_); });
}

std::optional<MemoryNetwork::ReplicaIndex> MemoryNetwork::leader() const {
  std::optional<ReplicaIndex> best;
  consensus::Term best_term = 0;
  for (ReplicaIndex i = 0; i < nodes_.size(); ++i) {
    if (nodes_[i].core == nullptr || cut_.contains(i)) continue;
    const auto leadership = nodes_[i].core->leadership();
    if (leadership.role != consensus::Role::Leader || leadership.term <= best_term) continue;
    best = i;
    best_term = leadership.term;
  }
  return best;
}

MemoryNetwork::ClientId MemoryNetwork::connect(ReplicaIndex index, const runtime::PeerIdentity& identity) {
  const ClientId id = clients_.size();
  auto& node = nodes_.at(index);
  const LinkId link{node.next_incoming++};
  clients_.push_back({index, link, true, {}});
  node.links[link] = {true, id, link};
  post(kDelay, [this, index, link, identity, incarnation = node.incarnation] {
    deliver(index, incarnation,
            [this, link, identity](StoreCore& core) { core.onLinkOpened(link, identity, now_); });
  });
  return id;
}

void MemoryNetwork::disconnect(ClientId client) {
  const auto& end = clients_.at(client);
  if (end.connected) closeLink(end.replica, end.link);
}

void MemoryNetwork::send(ClientId client, wire::EnvelopeT message) {
  const auto& end = clients_.at(client);
  auto shared = std::make_shared<wire::EnvelopeT>(std::move(message));
  post(kDelay, [this, end, shared, incarnation = nodes_.at(end.replica).incarnation] {
    deliver(end.replica, incarnation,
            [this, end, shared](StoreCore& core) { core.onMessage(end.link, *shared, now_); });
  });
}

void MemoryNetwork::post(Duration delay, std::function<void()> event) {
  events_.emplace(std::pair(now_ + delay, next_event_++), std::move(event));
}

void MemoryNetwork::deliver(ReplicaIndex index, std::uint64_t incarnation,
                            const std::function<void(StoreCore&)>& event) {
  auto& node = nodes_.at(index);
  if (node.core == nullptr || node.incarnation != incarnation) return;
  if (node.frozen) {
    node.deferred_events.emplace_back(
        [this, index, incarnation, event] { deliver(index, incarnation, event); });
    return;
  }
  event(*node.core);
  performActions(index);
  node.core->checkInvariants();
}

void MemoryNetwork::performActions(ReplicaIndex index) {
  auto& node = nodes_.at(index);
  const runtime::Actions actions = node.core->takeActions();
  for (const auto& write : actions.writes) {
    post(kDelay, [this, index, write, incarnation = node.incarnation] {
      auto& target = nodes_.at(index);
      if (target.core == nullptr || target.incarnation != incarnation) return;
      target.files.apply(write);
      deliver(index, incarnation, [this, id = write.id](StoreCore& core) { core.onFileWritten(id, now_); });
    });
  }
  for (const auto& order : actions.connects) openLink(index, order);
  for (const auto& outgoing : actions.messages) sendFrom(index, outgoing);
  for (const LinkId link : actions.closes) {
    post(2 * kDelay, [this, index, link, incarnation = node.incarnation] {
      if (nodes_.at(index).incarnation == incarnation) closeLink(index, link);
    });
  }
}

void MemoryNetwork::openLink(ReplicaIndex from, const runtime::ConnectOrder& order) {
  post(kDelay, [this, from, order, incarnation = nodes_.at(from).incarnation] {
    auto& node = nodes_.at(from);
    if (node.core == nullptr || node.incarnation != incarnation) return;
    const auto target = std::find_if(nodes_.begin(), nodes_.end(), [&](const Node& other) {
      return other.core != nullptr && other.options.self.port == order.address.port;
    });
    if (target == nodes_.end()) {
      deliver(from, incarnation, [this, order](StoreCore& core) { core.onLinkClosed(order.link, now_); });
      return;
    }
    const auto to = static_cast<ReplicaIndex>(target - nodes_.begin());
    const LinkId incoming{target->next_incoming++};
    node.links[order.link] = {false, to, incoming};
    target->links[incoming] = {false, from, order.link};
    deliver(to, target->incarnation,
            [this, incoming](StoreCore& core) { core.onLinkOpened(incoming, {}, now_); });
    deliver(from, incarnation, [this, order](StoreCore& core) { core.onLinkOpened(order.link, {}, now_); });
  });
}

void MemoryNetwork::sendFrom(ReplicaIndex from, const runtime::OutgoingMessage& outgoing) {
  const auto& node = nodes_.at(from);
  const auto found = node.links.find(outgoing.link);
  if (found == node.links.end()) return;
  const auto end = found->second;
  if (end.is_client) {
    post(kDelay, [this, end, message = outgoing.message] {
      auto& client = clients_.at(end.peer);
      if (client.connected) client.received.push_back(*message);
    });
    return;
  }
  const auto* consensus_message = outgoing.message->body.AsConsensusMessage();
  if (consensus_message != nullptr && on_consensus_message) on_consensus_message(*consensus_message);
  post(kDelay, [this, from, end, message = outgoing.message, incarnation = nodes_.at(end.peer).incarnation] {
    if (cut_.contains(from) || cut_.contains(end.peer)) return;
    deliver(end.peer, incarnation,
            [this, end, message](StoreCore& core) { core.onMessage(end.link, *message, now_); });
  });
}

void MemoryNetwork::closeLink(ReplicaIndex index, LinkId link) {
  auto& node = nodes_.at(index);
  const auto found = node.links.find(link);
  if (found == node.links.end()) return;
  const auto end = found->second;
  node.links.erase(found);
  deliver(index, node.incarnation, [this, link](StoreCore& core) { core.onLinkClosed(link, now_); });
  if (end.is_client) {
    clients_.at(end.peer).connected = false;
    return;
  }
  auto& peer = nodes_.at(end.peer);
  peer.links.erase(end.link);
  deliver(end.peer, peer.incarnation, [this, end](StoreCore& core) { core.onLinkClosed(end.link, now_); });
}

void MemoryNetwork::step() {
  TimePoint next = events_.empty() ? TimePoint::max() : events_.begin()->first.first;
  for (const auto& node : nodes_) {
    if (node.core != nullptr && !node.frozen) next = std::min(next, std::max(now_, node.core->nextTimer()));
  }
  now_ = std::max(now_, next);
  for (ReplicaIndex i = 0; i < nodes_.size(); ++i) {
    auto& node = nodes_[i];
    if (node.core == nullptr || node.frozen || node.core->nextTimer() > now_) continue;
    deliver(i, node.incarnation, [this](StoreCore& core) { core.onTimer(now_); });
  }
  while (!events_.empty() && events_.begin()->first.first <= now_) {
    const auto event = std::move(events_.begin()->second);
    events_.erase(events_.begin());
    event();
  }
}

bool MemoryNetwork::runUntil(const std::function<bool()>& condition, Duration limit) {
  const TimePoint end = now_ + limit;
  while (!condition()) {
    if (now_ >= end) return false;
    step();
  }
  return true;
}

void MemoryNetwork::runFor(Duration time) {
  const TimePoint end = now_ + time;
  post(time, [] {});
  while (now_ < end) step();
}

}  // namespace cometstand::store::test

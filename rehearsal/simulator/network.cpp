#include "rehearsal/simulator/network.h"

#include <algorithm>

namespace cometstand::simulator {
namespace {

/// As the product's own limit for a connect, runtime::kConnectTimeLimit.
constexpr Duration kConnectTimeLimit = std::chrono::seconds(3);
/// A sender whose packets get no acknowledgement for so long ends the connection.
constexpr Duration kRetransmissionLimit = std::chrono::seconds(12);

std::uint64_t mix(std::uint64_t value) {
  value ^= value >> 33U;
  value *= 0xff51afd7ed558ccdULL;
  value ^= value >> 33U;
  return value;
}

}  // namespace

void Network::mixDigest(std::uint64_t value) { digest_ = mix(digest_ * 31 + value); }

HostId Network::addHost(std::string name, std::string zone, std::string region, std::string role) {
  Host host;
  host.name = std::move(name);
  host.zone = std::move(zone);
  host.region = std::move(region);
  host.role = std::move(role);
  hosts_.push_back(std::move(host));
  return HostId(hosts_.size() - 1);
}

std::set<HostId> Network::hostsIn(const std::string& zone) const {
  std::set<HostId> found;
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    const auto& host = hosts_[i];
    if (!host.zone.empty() && (zone.empty() || host.zone == zone)) found.insert(HostId(i));
  }
  return found;
}

std::set<HostId> Network::hostsNamed(const std::string& name) const {
  std::set<HostId> found;
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    const auto& host = hosts_[i].name;
    if (host == name || host.starts_with(name + "/")) found.insert(HostId(i));
  }
  return found;
}

std::set<HostId> Network::allHosts() const {
  std::set<HostId> found;
  for (std::size_t i = 0; i < hosts_.size(); ++i) found.insert(HostId(i));
  return found;
}

void Network::attach(HostId id, NetworkPeer* peer) {
  auto& host = hosts_[index(id)];
  host.peer = peer;
  ++host.run;
  if (std::exchange(host.powered, true)) return;
  releaseStalled();
}

void Network::detach(HostId id, bool silent) {
  auto& host = hosts_[index(id)];
  host.peer = nullptr;
  host.powered = !silent;
  const auto lost = std::exchange(host.connections, {});
  for (const ConnectionId connection_id : lost) {
    auto* connection = find(connection_id);
    if (connection == nullptr) continue;
    const auto own = sideOf(*connection, id);
    connection->sides[own].open = false;
    connection->sides[own].stalled.clear();
    if (!silent) transmit(connection_id, *connection, 1 - own, {ItemKind::Close, {}});
    forgetIfDone(connection_id);
  }
}

Network::Connection* Network::find(ConnectionId connection) {
  const auto found = connections_.find(connection);
  return found == connections_.end() ? nullptr : &found->second;
}

bool Network::sideAlive(const Side& side) const {
  const auto& host = hosts_[index(side.host)];
  return host.peer != nullptr && host.run == side.run;
}

Duration Network::baseDelay(HostId from, HostId to) const {
  const auto& left = hosts_[index(from)];
  const auto& right = hosts_[index(to)];
  if (left.zone.empty() || right.zone.empty()) return latency_.to_clients;
  if (left.zone == right.zone) return latency_.same_zone;
  return left.region == right.region ? latency_.between_zones : latency_.between_regions;
}

Duration Network::maxDelay(HostId from, HostId to) const {
  const auto base = baseDelay(from, to);
  return base + Duration(static_cast<Duration::rep>(static_cast<double>(base.count()) * latency_.jitter));
}

Duration Network::delay(HostId from, HostId to) {
  return random_.uniform(baseDelay(from, to), maxDelay(from, to));
}

bool Network::blocked(HostId from, HostId to) const {
  return std::any_of(cuts_.begin(), cuts_.end(), [&](const auto& entry) {
    return entry.second.first.contains(from) && entry.second.second.contains(to);
  });
}

LinkKind Network::kindOf(HostId from, HostId to) const {
  const auto& left = hosts_[index(from)].role;
  const auto& right = hosts_[index(to)].role;
  if (right == "store") {
    if (left == "store") return LinkKind::StoreToStore;
    return left == "relay" ? LinkKind::RelayToStore : LinkKind::Operator;
  }
  if (right == "relay") return left == "relay" ? LinkKind::RelayToRelay : LinkKind::ProxyToRelay;
  return LinkKind::Http;
}

ConnectionId Network::connect(HostId from, const runtime::Address& to) {
  const ConnectionId id{next_connection_++};
  auto& connection = connections_[id];
  connection.sides[0].host = from;
  connection.sides[0].run = hosts_[index(from)].run;
  connection.sides[0].open = true;
  hosts_[index(from)].connections.insert(id);
  const auto target = addresses_.find(to);
  if (target != addresses_.end()) {
    connection.sides[1].host = target->second;
    connection.sides[1].run = hosts_[index(target->second)].run;
    connection.kind = kindOf(from, target->second);
    transmit(id, connection, 1, {ItemKind::Syn, {}});
  }
  queue_.after(kConnectTimeLimit, [this, id] {
    auto* late = find(id);
    if (late == nullptr || late->established) return;
    endSide(id, *late, 1, false);
    endSide(id, *late, 0, true);
    forgetIfDone(id);
  });
  return id;
}

void Network::transmit(ConnectionId id, Connection& connection, std::size_t to_side, Item item) {
  auto& side = connection.sides[to_side];
  const HostId from = connection.sides[1 - to_side].host;
  const TimePoint arrival = std::max(queue_.now() + delay(from, side.host), side.last_arrival);
  side.last_arrival = arrival;
  queue_.at(arrival, [this, id, to_side, item = std::move(item)] { arrive(id, to_side, item); });
}

void Network::arrive(ConnectionId id, std::size_t to_side, const Item& item) {
  auto* connection = find(id);
  if (connection == nullptr) return;
  const auto& side = connection->sides[to_side];
  const HostId from = connection->sides[1 - to_side].host;
  if (!side.stalled.empty() || blocked(from, side.host) || !hosts_[index(side.host)].powered) {
    stall(id, *connection, to_side, item);
    return;
  }
  arriveAt(id, *connection, to_side, item);
}

void Network::stall(ConnectionId id, Connection& connection, std::size_t to_side, Item item) {
  auto& side = connection.sides[to_side];
  const bool first = side.stalled.empty();
  side.stalled.push_back(std::move(item));
  if (!first) return;
  queue_.after(kRetransmissionLimit, [this, id, to_side] {
    auto* late = find(id);
    if (late == nullptr || late->sides[to_side].stalled.empty()) return;
    late->sides[to_side].stalled.clear();
    endSide(id, *late, 1 - to_side, true);
    // The receiver hears of it once anything gets through; its own keep-alive would find out as late.
    queue_.after(kRetransmissionLimit, [this, id, to_side] {
      auto* dead = find(id);
      if (dead == nullptr) return;
      endSide(id, *dead, to_side, true);
      forgetIfDone(id);
    });
  });
}

void Network::onSyn(ConnectionId id, Connection& connection) {
  auto& side = connection.sides[1];
  auto& host = hosts_[index(side.host)];
  if (host.peer == nullptr || !host.peer->accepts()) {
    transmit(id, connection, 0, {ItemKind::Close, {}});
    return;
  }
  side.run = host.run;
  side.open = true;
  host.connections.insert(id);
  transmit(id, connection, 0, {ItemKind::Accept, {}});
  host.peer->onConnection(id);
}

void Network::arriveAt(ConnectionId id, Connection& connection, std::size_t to_side, const Item& item) {
  auto& side = connection.sides[to_side];
  const HostId host = side.host;
  mixDigest(static_cast<std::uint64_t>(queue_.now().time_since_epoch().count()) * 7 +
            static_cast<std::uint64_t>(id) * 8 + static_cast<std::uint64_t>(item.kind));
  if (item.kind == ItemKind::Syn) {
    onSyn(id, connection);
    return;
  }
  if (item.kind == ItemKind::Close) {
    endSide(id, connection, to_side, true);
    endSide(id, connection, 1 - to_side, false);
    forgetIfDone(id);
    return;
  }
  if (!side.open || !sideAlive(side)) {
    // A reset answers what arrives for a process that is gone.
    if (connection.sides[1 - to_side].open) transmit(id, connection, 1 - to_side, {ItemKind::Close, {}});
    return;
  }
  auto* peer = hosts_[index(host)].peer;
  if (item.kind == ItemKind::Accept) {
    connection.established = true;
    peer->onConnected(id);
  } else {
    peer->onPacket(id, item.packet);
  }
}

void Network::send(ConnectionId id, HostId from, Packet packet, std::size_t bytes) {
  auto* connection = find(id);
  if (connection == nullptr) return;
  const auto own = sideOf(*connection, from);
  if (!connection->sides[own].open) return;
  bytes_[static_cast<std::size_t>(connection->kind)] += bytes;
  ++packets_;
  transmit(id, *connection, 1 - own, {ItemKind::Data, std::move(packet)});
}

void Network::close(ConnectionId id, HostId from) {
  auto* connection = find(id);
  if (connection == nullptr) return;
  const auto own = sideOf(*connection, from);
  if (!connection->sides[own].open) return;
  transmit(id, *connection, 1 - own, {ItemKind::Close, {}});
  queue_.after(Duration::zero(), [this, id, own] {
    if (auto* closed = find(id)) endSide(id, *closed, own, true);
  });
}

void Network::endSide(ConnectionId id, Connection& connection, std::size_t side_index, bool tell) {
  auto& side = connection.sides[side_index];
  if (!side.open) return;
  side.open = false;
  const bool alive = sideAlive(side);
  auto& host = hosts_[index(side.host)];
  host.connections.erase(id);
  if (tell && alive) host.peer->onClosed(id);
}

void Network::forgetIfDone(ConnectionId id) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  const auto& sides = found->second.sides;
  if (!sides[0].open && !sides[1].open) connections_.erase(found);
}

void Network::reset(ConnectionId id) {
  auto* connection = find(id);
  if (connection == nullptr || !connection->established) return;
  for (std::size_t side = 0; side < 2; ++side) endSide(id, *connection, side, true);
  forgetIfDone(id);
}

std::size_t Network::resetSome(double share) {
  std::vector<ConnectionId> chosen;
  for (const auto& [id, connection] : connections_) {
    if (connection.established && random_.chance(share)) chosen.push_back(id);
  }
  for (const ConnectionId id : chosen) reset(id);
  return chosen.size();
}

Network::Cut Network::cut(std::set<HostId> from, std::set<HostId> to) {
  cuts_[next_cut_] = {std::move(from), std::move(to)};
  return next_cut_++;
}

void Network::heal(Cut cut) {
  cuts_.erase(cut);
  releaseStalled();
}

void Network::releaseStalled() {
  std::vector<std::pair<ConnectionId, std::size_t>> released;
  for (const auto& [id, connection] : connections_) {
    for (std::size_t side = 0; side < 2; ++side) {
      const HostId host = connection.sides[side].host;
      if (connection.sides[side].stalled.empty() || !hosts_[index(host)].powered) continue;
      if (!blocked(connection.sides[1 - side].host, host)) released.emplace_back(id, side);
    }
  }
  for (const auto& [id, side] : released) {
    auto* connection = find(id);
    if (connection == nullptr) continue;
    auto items = std::exchange(connection->sides[side].stalled, {});
    for (auto& item : items) transmit(id, *connection, side, std::move(item));
  }
}

HostId Network::peerOf(ConnectionId id, HostId self) const {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return self;
  const auto& sides = found->second.sides;
  return sides[0].host == self ? sides[1].host : sides[0].host;
}

}  // namespace cometstand::simulator

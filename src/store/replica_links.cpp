#include "store/replica_links.h"

#include <algorithm>
#include <set>
#include <utility>

namespace cometstand::store {

using runtime::LinkId;

void ReplicaLinks::refresh(TimePoint now) {
  const auto membership = context_.consensus.membership();
  const bool is_member = !membership.voters.empty();
  std::set<consensus::ReplicaId> known;
  for (const auto* replicas : {&membership.voters, &membership.learners}) {
    for (const auto& replica : *replicas) {
      known.insert(replica->id);
      addOrUpdatePeer(*replica, now);
    }
  }
  for (const auto& replica : context_.options.initial_voters) {
    if (is_member && !known.contains(replica.id)) continue;
    if (known.insert(replica.id).second) addOrUpdatePeer(replica, now);
  }
  for (auto peer = peers_.begin(); peer != peers_.end();) {
    if (known.contains(peer->first)) {
      ++peer;
      continue;
    }
    disconnect(peer->second);
    peer = peers_.erase(peer);
  }
}

void ReplicaLinks::addOrUpdatePeer(const wire::ReplicaT& replica, TimePoint now) {
  if (replica.id == context_.options.self.id) return;
  const runtime::Address address{replica.address, replica.port};
  auto& peer = peers_.try_emplace(replica.id, context_.options).first->second;
  if (peer.address == address) return;
  disconnect(peer);
  peer.address = address;
  peer.connect_at = now;
}

void ReplicaLinks::disconnect(Peer& peer) {
  if (!peer.link) return;
  context_.actions.close(*peer.link);
  outgoing_.erase(*peer.link);
  peer.link.reset();
  peer.is_open = false;
}

void ReplicaLinks::onLinkOpened(LinkId link) {
  const auto found = outgoing_.find(link);
  if (found == outgoing_.end()) return;
  auto& peer = peers_.at(found->second);
  peer.is_open = true;
  peer.backoff.reset();
  peer.connect_limit.reset();
}

void ReplicaLinks::onLinkClosed(LinkId link, TimePoint now) {
  std::erase_if(incoming_, [&](const auto& item) { return item.second == link; });
  const auto found = outgoing_.find(link);
  if (found == outgoing_.end()) return;
  auto& peer = peers_.at(found->second);
  peer.link.reset();
  peer.is_open = false;
  peer.connect_at = now + peer.backoff.next(context_.random);
  outgoing_.erase(found);
}

void ReplicaLinks::onHeard(consensus::ReplicaId from, LinkId link) { incoming_[from] = link; }

void ReplicaLinks::send(wire::ConsensusMessageT message) {
  auto link = linkTo(message.to);
  const auto incoming = incoming_.find(message.to);
  if (!link && incoming != incoming_.end()) link = incoming->second;
  if (link) context_.actions.send(*link, std::move(message), 0);
}

std::optional<LinkId> ReplicaLinks::linkTo(consensus::ReplicaId replica) const {
  const auto peer = peers_.find(replica);
  if (peer == peers_.end() || !peer->second.is_open) return std::nullopt;
  return peer->second.link;
}

std::optional<runtime::Address> ReplicaLinks::addressOf(consensus::ReplicaId replica) const {
  const auto peer = peers_.find(replica);
  if (peer == peers_.end()) return std::nullopt;
  return peer->second.address;
}

void ReplicaLinks::onTimer(TimePoint now) {
  if (stopped_) return;
  for (auto& [id, peer] : peers_) {
    if (peer.link || peer.connect_at > now) continue;
    peer.link = context_.actions.connect(peer.address, peer.connect_limit.next());
    outgoing_[*peer.link] = id;
  }
}

TimePoint ReplicaLinks::nextTimer() const {
  TimePoint next = TimePoint::max();
  if (stopped_) return next;
  for (const auto& [id, peer] : peers_) {
    if (!peer.link) next = std::min(next, peer.connect_at);
  }
  return next;
}

}  // namespace cometstand::store

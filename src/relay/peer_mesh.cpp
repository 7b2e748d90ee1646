#include "relay/peer_mesh.h"

#include <algorithm>
#include <utility>

namespace cometstand::relay {

using runtime::LinkId;

namespace {

/// Interval of beats between relays.
constexpr Duration kPeerBeatInterval = std::chrono::seconds(2);

/// A peer that is silent for this long is taken for cut off, and its link is closed.
constexpr Duration kPeerSilenceLimit = std::chrono::seconds(8);

bool isIncoming(LinkId link) { return static_cast<std::uint64_t>(link) >= runtime::kFirstIncomingLink; }

}  // namespace

PeerMesh::PeerMesh(const RelayOptions& options, runtime::ActionQueue& actions, RandomSource& random)
    : options_(options), actions_(actions), random_(random) {
  for (const auto& address : options.peers) {
    if (address == options.advertise) continue;
    slots_.push_back({address,
                      {},
                      std::nullopt,
                      runtime::ReconnectBackoff(options.reconnect_minimum, options.reconnect_maximum),
                      TimePoint::max()});
  }
}

void PeerMesh::start(TimePoint now) {
  for (auto& slot : slots_) slot.connect_at = now + slot.backoff.next(random_);
  beat_at_ = now + kPeerBeatInterval;
}

PeerMesh::Slot* PeerMesh::slotOf(LinkId link) {
  const auto found =
      std::find_if(slots_.begin(), slots_.end(), [&](const Slot& slot) { return slot.link == link; });
  return found == slots_.end() ? nullptr : &*found;
}

PeerMesh::Peer* PeerMesh::peerOf(LinkId link) {
  for (auto& [name, peer] : peers_) {
    if (std::find(peer.links.begin(), peer.links.end(), link) != peer.links.end()) return &peer;
  }
  return nullptr;
}

bool PeerMesh::owns(LinkId link) const {
  return std::any_of(slots_.begin(), slots_.end(), [&](const Slot& slot) { return slot.link == link; });
}

void PeerMesh::onOutgoingOpened(LinkId link, const runtime::PeerIdentity& identity, TimePoint now) {
  if (identity.role.empty() || identity.role == "relay") {
    sendHello(link);
    return;
  }
  actions_.close(link);
  onLinkClosed(link, now);
}

void PeerMesh::sendHello(LinkId link) {
  wire::RelayHelloT hello;
  hello.relay = options_.name;
  hello.zone = options_.zone;
  actions_.send(link, std::move(hello), 0);
}

void PeerMesh::sendBeat(LinkId link) {
  wire::InForceReportT report;
  report.relay = options_.name;
  report.zone = options_.zone;
  report.proxies = own_proxies_;
  actions_.send(link, std::move(report), 0);
}

bool PeerMesh::onHello(LinkId link, const wire::RelayHelloT& hello, TimePoint now) {
  if (hello.relay == options_.name) {
    // The relay's own address under another form, or two relays of one name: useless either way.
    actions_.close(link);
    return false;
  }
  if (isIncoming(link)) sendHello(link);
  if (auto* slot = slotOf(link)) {
    slot->name = hello.relay;
    slot->backoff.reset();
  }
  auto& peer = peers_[hello.relay];
  peer.zone = hello.zone;
  peer.last_heard = now;
  peer.lost_at = TimePoint::max();
  if (std::find(peer.links.begin(), peer.links.end(), link) != peer.links.end()) return false;
  peer.links.push_back(link);
  sendBeat(link);
  closeSpareLink(peer, hello.relay);
  return true;
}

/// Of two links between the same relays the side with the greater name closes the one that it opened.
void PeerMesh::closeSpareLink(Peer& peer, const std::string& name) {
  const bool has_incoming = std::any_of(peer.links.begin(), peer.links.end(), isIncoming);
  if (options_.name < name || !has_incoming) return;
  for (auto& slot : slots_) {
    if (!slot.link || slot.name != name) continue;
    actions_.close(*slot.link);
    std::erase(peer.links, *slot.link);
    slot.link.reset();
    slot.connect_at = TimePoint::max();
  }
}

void PeerMesh::onReport(LinkId link, const wire::InForceReportT& report, TimePoint now) {
  if (auto* peer = peerOf(link)) peer->proxies = report.proxies;
  onHeard(link, now);
}

void PeerMesh::onHeard(LinkId link, TimePoint now) {
  if (auto* peer = peerOf(link)) peer->last_heard = now;
}

void PeerMesh::onLinkClosed(LinkId link, TimePoint now) {
  if (auto* slot = slotOf(link)) {
    slot->link.reset();
    slot->connect_at = now + slot->backoff.next(random_);
  }
  for (auto& [name, peer] : peers_) {
    if (std::erase(peer.links, link) == 0 || !peer.links.empty()) continue;
    peer.lost_at = now;
    for (auto& slot : slots_) {
      if (slot.name == name && !slot.link) slot.connect_at = now + slot.backoff.next(random_);
    }
  }
}

void PeerMesh::broadcast(const runtime::MessagePointer& message) {
  for (const auto& [name, peer] : peers_) {
    if (!peer.links.empty()) actions_.send(peer.links.front(), message);
  }
}

void PeerMesh::setOwnProxies(std::uint32_t proxies, TimePoint now) {
  if (proxies == own_proxies_) return;
  own_proxies_ = proxies;
  beat_at_ = std::min(beat_at_, now + options_.report_interval);
}

std::uint32_t PeerMesh::remoteProxies() const {
  std::uint32_t sum = 0;
  for (const auto& [name, peer] : peers_) sum += peer.proxies;
  return sum;
}

bool PeerMesh::hasSmallerPeerInZone() const {
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& item) {
    return item.second.zone == options_.zone && !item.second.links.empty() && item.first < options_.name;
  });
}

bool PeerMesh::hasPeerInZone(const std::string& zone) const {
  return std::any_of(peers_.begin(), peers_.end(), [&zone](const auto& item) {
    return item.second.zone == zone && !item.second.links.empty();
  });
}

bool PeerMesh::isSmallestLinked() const {
  return std::none_of(peers_.begin(), peers_.end(), [this](const auto& item) {
    return !item.second.links.empty() && item.first < options_.name;
  });
}

std::vector<runtime::Address> PeerMesh::linkedAddresses() const {
  std::vector<runtime::Address> own_zone;
  std::vector<runtime::Address> others;
  for (const auto& slot : slots_) {
    const auto peer = peers_.find(slot.name);
    if (peer == peers_.end() || peer->second.links.empty()) continue;
    (peer->second.zone == options_.zone ? own_zone : others).push_back(slot.address);
  }
  // Other zones are the last resort: a few are enough.
  if (own_zone.empty()) own_zone = std::move(others);
  return own_zone;
}

void PeerMesh::connectDue(TimePoint now) {
  for (auto& slot : slots_) {
    if (slot.connect_at > now || slot.link || stopped_) continue;
    slot.connect_at = TimePoint::max();
    const auto peer = peers_.find(slot.name);
    if (peer != peers_.end() && !peer->second.links.empty()) continue;
    slot.link = actions_.connect(slot.address);
  }
}

void PeerMesh::sendBeats(TimePoint now) {
  beat_at_ = now + kPeerBeatInterval;
  for (const auto& [name, peer] : peers_) {
    for (const LinkId link : peer.links) sendBeat(link);
  }
}

void PeerMesh::closeSilent(TimePoint now) {
  std::vector<LinkId> silent;
  for (const auto& [name, peer] : peers_) {
    if (peer.last_heard + kPeerSilenceLimit > now) continue;
    silent.insert(silent.end(), peer.links.begin(), peer.links.end());
  }
  for (const LinkId link : silent) {
    actions_.close(link);
    onLinkClosed(link, now);
  }
  std::erase_if(peers_, [&](const auto& item) {
    return item.second.links.empty() && item.second.lost_at != TimePoint::max() &&
           item.second.lost_at + options_.peer_hold <= now;
  });
}

void PeerMesh::stop() {
  stopped_ = true;
  own_proxies_ = 0;
}

void PeerMesh::onTimer(TimePoint now) {
  connectDue(now);
  if (beat_at_ > now) return;
  closeSilent(now);
  sendBeats(now);
}

TimePoint PeerMesh::nextTimer() const {
  TimePoint next = beat_at_;
  for (const auto& slot : slots_) {
    if (!slot.link && !stopped_) next = std::min(next, slot.connect_at);
  }
  return next;
}

}  // namespace cometstand::relay

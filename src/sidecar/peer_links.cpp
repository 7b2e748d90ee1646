#include "sidecar/peer_links.h"

#include <algorithm>

namespace cometstand::sidecar {
namespace {

constexpr Duration kMinReconnectBackoff = std::chrono::milliseconds(50);
constexpr Duration kMaxReconnectBackoff = std::chrono::milliseconds(800);

}  // namespace

using runtime::Address;
using runtime::LinkId;

void PeerLinks::add(const Address& address, TimePoint now) {
  if (peers_.contains(address)) return;
  peers_.emplace(address, Peer{std::nullopt, false, now, {kMinReconnectBackoff, kMaxReconnectBackoff}, {}});
  unconnected_.push_back(address);
}

void PeerLinks::remove(const Address& address) {
  const auto peer = peers_.find(address);
  if (peer == peers_.end()) return;
  if (peer->second.link) {
    actions_.close(*peer->second.link);
    addresses_.erase(*peer->second.link);
  }
  reconnects_.erase({peer->second.connect_at, address});
  std::erase(unconnected_, address);
  peers_.erase(peer);
}

std::vector<Address> PeerLinks::all() const {
  std::vector<Address> addresses;
  addresses.reserve(peers_.size());
  for (const auto& [address, peer] : peers_) addresses.push_back(address);
  return addresses;
}

void PeerLinks::reset(const Address& address) {
  const auto peer = peers_.find(address);
  if (peer != peers_.end() && peer->second.link) actions_.close(*peer->second.link);
}

std::optional<Address> PeerLinks::addressOf(LinkId link) const {
  const auto found = addresses_.find(link);
  return found == addresses_.end() ? std::nullopt : std::optional(found->second);
}

std::optional<Address> PeerLinks::onLinkOpened(LinkId link) {
  auto address = addressOf(link);
  if (!address) return std::nullopt;
  auto& peer = peers_.at(*address);
  peer.is_open = true;
  peer.backoff.reset();
  peer.connect_limit.reset();
  return address;
}

std::optional<Address> PeerLinks::onLinkClosed(LinkId link, TimePoint now) {
  auto address = addressOf(link);
  if (!address) return std::nullopt;
  addresses_.erase(link);
  auto& peer = peers_.at(*address);
  peer.link.reset();
  peer.is_open = false;
  peer.connect_at = now + peer.backoff.next(random_);
  reconnects_.emplace(peer.connect_at, *address);
  return address;
}

std::optional<LinkId> PeerLinks::linkTo(const Address& address) const {
  const auto peer = peers_.find(address);
  if (peer == peers_.end() || !peer->second.is_open) return std::nullopt;
  return peer->second.link;
}

void PeerLinks::connect(const Address& address, Peer& peer) {
  peer.link = actions_.connect(address, peer.connect_limit.next());
  addresses_[*peer.link] = address;
}

void PeerLinks::connectBatch(TimePoint now) {
  if (now >= next_batch_at_) {
    next_batch_at_ = now + kConnectBatchInterval;
    batch_connects_ = 0;
  }
  for (; batch_connects_ < kConnectBatchSize && !unconnected_.empty(); ++batch_connects_) {
    const Address address = unconnected_.front();
    unconnected_.pop_front();
    connect(address, peers_.at(address));
  }
}

void PeerLinks::onTimer(TimePoint now) {
  connectBatch(now);
  while (!reconnects_.empty() && reconnects_.begin()->first <= now) {
    const Address address = reconnects_.begin()->second;
    reconnects_.erase(reconnects_.begin());
    connect(address, peers_.at(address));
  }
}

TimePoint PeerLinks::nextTimer() const {
  const TimePoint retry = reconnects_.empty() ? TimePoint::max() : reconnects_.begin()->first;
  return unconnected_.empty() ? retry : std::min(retry, next_batch_at_);
}

}  // namespace cometstand::sidecar

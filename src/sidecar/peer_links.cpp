#include "sidecar/peer_links.h"

#include <algorithm>

namespace cometstand::sidecar {
namespace {

constexpr Duration kReconnectMinimum = std::chrono::milliseconds(50);
constexpr Duration kReconnectMaximum = std::chrono::milliseconds(800);

}  // namespace

using runtime::Address;
using runtime::LinkId;

void PeerLinks::add(const Address& address, TimePoint now) {
  if (peers_.contains(address)) return;
  peers_.emplace(address, Peer{std::nullopt, false, now, {kReconnectMinimum, kReconnectMaximum}, {}});
  fresh_.push_back(address);
}

void PeerLinks::remove(const Address& address) {
  const auto peer = peers_.find(address);
  if (peer == peers_.end()) return;
  if (peer->second.link) {
    actions_.close(*peer->second.link);
    addresses_.erase(*peer->second.link);
  }
  due_.erase({peer->second.connect_at, address});
  std::erase(fresh_, address);
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
  due_.emplace(peer.connect_at, *address);
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

void PeerLinks::connectFresh(TimePoint now) {
  if (now >= fresh_at_) {
    fresh_at_ = now + kConnectPause;
    fresh_made_ = 0;
  }
  for (; fresh_made_ < kConnectsAtOnce && !fresh_.empty(); ++fresh_made_) {
    const Address address = fresh_.front();
    fresh_.pop_front();
    connect(address, peers_.at(address));
  }
}

void PeerLinks::onTimer(TimePoint now) {
  connectFresh(now);
  while (!due_.empty() && due_.begin()->first <= now) {
    const Address address = due_.begin()->second;
    due_.erase(due_.begin());
    connect(address, peers_.at(address));
  }
}

TimePoint PeerLinks::nextTimer() const {
  const TimePoint retry = due_.empty() ? TimePoint::max() : due_.begin()->first;
  return fresh_.empty() ? retry : std::min(retry, fresh_at_);
}

}  // namespace cometstand::sidecar

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "relay/relay_options.h"
#include "runtime/action_queue.h"
#include "runtime/reconnect_backoff.h"

namespace cometstand::relay {

/// Links among all relays of the mesh, over which endpoint records and the numbers of proxies spread. Two
/// relays that connect to each other at once keep the link that the smaller name opened. A peer's
/// InForceReport is also the beat of its link.
class PeerMesh {
 public:
  PeerMesh(const RelayOptions& options, runtime::ActionQueue& actions, RandomSource& random);

  void start(TimePoint now);

  /// @return true for a link that this object opened and that has not ended.
  bool owns(runtime::LinkId link) const;

  void onOutgoingOpened(runtime::LinkId link, const runtime::PeerIdentity& identity, TimePoint now);

  /// Takes a peer's hello on a link of either direction.
  /// @return true if the link is a new one to this peer, so that it is to get the whole endpoint table.
  bool onHello(runtime::LinkId link, const wire::RelayHelloT& hello, TimePoint now);
  void onReport(runtime::LinkId link, const wire::InForceReportT& report, TimePoint now);
  /// Call it for each message of a peer.
  void onHeard(runtime::LinkId link, TimePoint now);
  void onLinkClosed(runtime::LinkId link, TimePoint now);

  /// Sends a message to all peers.
  void broadcast(const runtime::MessagePointer& message);
  /// Sets the number of proxies here; peers hear of it with the next beat.
  void setOwnProxies(std::uint32_t proxies, TimePoint now);

  /// @return the number of proxies at all other relays; those of a lost relay count for a while.
  std::uint32_t remoteProxies() const;
  /// @return true if a linked relay of the own zone has a smaller name.
  bool hasSmallerPeerInZone() const;
  /// @return true if a relay of that zone is linked.
  bool hasPeerInZone(const std::string& zone) const;
  /// @return true if no linked relay has a smaller name.
  bool isSmallestLinked() const;
  /// @return addresses of the linked relays, those of the own zone first.
  std::vector<runtime::Address> linkedAddresses() const;

  void stop();
  void onTimer(TimePoint now);
  TimePoint nextTimer() const;

 private:
  /// A configured peer to which this relay connects.
  struct Slot {
    runtime::Address address;
    /// Learned from the peer's hello; empty before.
    std::string name;
    std::optional<runtime::LinkId> link;
    runtime::ReconnectBackoff backoff;
    TimePoint connect_at;
  };
  struct Peer {
    std::string zone;
    /// Links in either direction that have said hello; the first one is used.
    std::vector<runtime::LinkId> links;
    std::uint32_t proxies = 0;
    TimePoint last_heard;
    TimePoint lost_at = TimePoint::max();
  };

  Slot* slotOf(runtime::LinkId link);
  Peer* peerOf(runtime::LinkId link);
  void sendHello(runtime::LinkId link);
  void sendBeat(runtime::LinkId link);
  void sendBeats(TimePoint now);
  void connectDue(TimePoint now);
  void closeSilent(TimePoint now);
  void closeSpareLink(Peer& peer, const std::string& name);

  const RelayOptions& options_;
  runtime::ActionQueue& actions_;
  RandomSource& random_;
  std::vector<Slot> slots_;
  std::map<std::string, Peer> peers_;
  std::uint32_t own_proxies_ = 0;
  TimePoint beat_at_ = TimePoint::max();
  bool stopped_ = false;
};

}  // namespace cometstand::relay

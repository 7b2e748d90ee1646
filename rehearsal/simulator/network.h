#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/random.h"
#include "rehearsal/simulator/event_queue.h"
#include "rehearsal/simulator/packet.h"
#include "runtime/process_core.h"

namespace cometstand::simulator {

/// One process's place on the network.
enum class HostId : std::uint32_t {};
/// One connection over the whole run; never reused.
enum class ConnectionId : std::uint64_t {};

/// What a process hears from the network.
class NetworkPeer {
 public:
  virtual ~NetworkPeer() = default;
  /// @return false to refuse connections now.
  virtual bool accepts() const { return true; }
  /// Another host's connection is open.
  virtual void onConnection(ConnectionId connection) = 0;
  /// A connection this peer asked for is open.
  virtual void onConnected(ConnectionId connection) = 0;
  virtual void onPacket(ConnectionId connection, const Packet& packet) = 0;
  /// The connection ended or could not be opened. Also follows the peer's own close().
  virtual void onClosed(ConnectionId connection) = 0;
};

/// One-way delays between places, in microseconds.
struct LatencyModel {
  Duration same_zone = std::chrono::microseconds(100);
  /// Between zones of one region.
  Duration between_zones = std::chrono::microseconds(500);
  Duration between_regions = std::chrono::milliseconds(25);
  /// Between any zone and clients.
  Duration to_clients = std::chrono::milliseconds(3);
  /// Up to this share of the delay is added at random.
  double jitter = 0.3;
};

/// Kinds of links of which the bytes are counted.
enum class LinkKind : std::uint8_t { StoreToStore, RelayToStore, RelayToRelay, ProxyToRelay, Operator, Http };
inline constexpr std::size_t kLinkKinds = 6;

/// Hosts and TCP-like connections: packets of one direction arrive whole and in order, or not at all. A cut
/// stalls what crosses it; it arrives when the cut heals, unless the connection has timed out by then.
class Network {
 public:
  Network(EventQueue& queue, LatencyModel latency, std::uint64_t seed)
      : queue_(queue), latency_(latency), random_(seed) {}

  /// @param zone empty for clients.
  HostId addHost(std::string name, std::string zone, std::string region, std::string role);
  void setAddress(HostId host, const runtime::Address& address) { addresses_[address] = host; }
  const std::string& nameOf(HostId host) const { return hosts_[index(host)].name; }
  const std::string& zoneOf(HostId host) const { return hosts_[index(host)].zone; }

  /// @return hosts inside zones: of the given one, or of all if it is empty.
  std::set<HostId> hostsIn(const std::string& zone) const;
  std::set<HostId> allHosts() const;
  /// @return hosts of that name; a proxy's HTTP side has the proxy's name followed by "/http".
  std::set<HostId> hostsNamed(const std::string& name) const;

  /// Makes the host reachable.
  void attach(HostId host, NetworkPeer* peer);
  /// The process is gone. @param silent the machine lost power: nobody is told, and what is sent to it is
  /// answered by a reset only once it runs again.
  void detach(HostId host, bool silent);

  ConnectionId connect(HostId from, const runtime::Address& to);
  void send(ConnectionId connection, HostId from, Packet packet, std::size_t bytes);
  /// In order, after what was sent before.
  void close(ConnectionId connection, HostId from);
  /// The connection is lost for both sides.
  void reset(ConnectionId connection);
  /// Resets open connections at random. @return how many.
  std::size_t resetSome(double share);

  using Cut = std::uint64_t;
  /// Nothing gets from one set of hosts to the other until the cut is healed.
  Cut cut(std::set<HostId> from, std::set<HostId> to);
  void heal(Cut cut);

  /// @return the other end; `self` if the connection is over.
  HostId peerOf(ConnectionId connection, HostId self) const;
  /// @return the largest one-way delay between the hosts.
  Duration maxDelay(HostId from, HostId to) const;

  std::uint64_t bytes(LinkKind kind) const { return bytes_[static_cast<std::size_t>(kind)]; }
  std::uint64_t packets() const { return packets_; }
  /// Running hash of all deliveries: two runs of one seed agree in it.
  std::uint64_t digest() const { return digest_; }
  void mixDigest(std::uint64_t value);

 private:
  struct Host {
    std::string name;
    std::string zone;
    std::string region;
    std::string role;
    NetworkPeer* peer = nullptr;
    bool powered = true;
    /// Rises with each attach(): connections belong to one run of a process.
    std::uint64_t run = 0;
    std::set<ConnectionId> connections;
  };
  enum class ItemKind : std::uint8_t { Syn, Accept, Data, Close };
  struct Item {
    ItemKind kind;
    Packet packet;
  };
  struct Side {
    HostId host{};
    std::uint64_t run = 0;
    /// The process knows of the connection.
    bool open = false;
    TimePoint last_arrival;
    std::deque<Item> stalled;
  };
  struct Connection {
    std::array<Side, 2> sides;
    LinkKind kind = LinkKind::Http;
    bool established = false;
  };

  static std::size_t index(HostId host) { return static_cast<std::size_t>(host); }
  Connection* find(ConnectionId connection);
  static std::size_t sideOf(const Connection& connection, HostId host) {
    return connection.sides[0].host == host ? 0 : 1;
  }
  Duration baseDelay(HostId from, HostId to) const;
  Duration delay(HostId from, HostId to);
  bool blocked(HostId from, HostId to) const;
  LinkKind kindOf(HostId from, HostId to) const;
  bool sideAlive(const Side& side) const;
  /// Sends an item to the given side.
  void transmit(ConnectionId id, Connection& connection, std::size_t to_side, Item item);
  void arrive(ConnectionId id, std::size_t to_side, const Item& item);
  void arriveAt(ConnectionId id, Connection& connection, std::size_t to_side, const Item& item);
  void onSyn(ConnectionId id, Connection& connection);
  void stall(ConnectionId id, Connection& connection, std::size_t to_side, Item item);
  /// Sends on what neither a cut nor a machine without power holds back any more.
  void releaseStalled();
  void endSide(ConnectionId id, Connection& connection, std::size_t side, bool tell);
  void forgetIfDone(ConnectionId id);

  EventQueue& queue_;
  LatencyModel latency_;
  RandomSource random_;
  std::vector<Host> hosts_;
  std::map<runtime::Address, HostId> addresses_;
  std::map<ConnectionId, Connection> connections_;
  std::map<Cut, std::pair<std::set<HostId>, std::set<HostId>>> cuts_;
  std::uint64_t next_connection_ = 1;
  Cut next_cut_ = 1;
  std::array<std::uint64_t, kLinkKinds> bytes_{};
  std::uint64_t packets_ = 0;
  std::uint64_t digest_ = 0;
};

}  // namespace cometstand::simulator

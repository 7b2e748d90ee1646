#pragma once

#include <map>
#include <optional>

#include "runtime/reconnect_backoff.h"
#include "store/store_context.h"

namespace cometstand::store {

/// Links between this replica and the other replicas. An outgoing link is opened to each known replica and
/// carries consensus messages and forwarded commands. If no outgoing link to a replica is open, consensus
/// messages to it are sent over the link on which its last message arrived. Lost messages are not resent
/// here; the consensus module retries.
class ReplicaLinks {
 public:
  explicit ReplicaLinks(StoreContext& context) : context_(context) {}

  /// Updates the set of peers from the membership and the configured initial voters; to be called after each
  /// consensus step.
  void refresh(TimePoint now);

  /// @return true if this object opened the link and the link has not been closed.
  bool owns(runtime::LinkId link) const { return outgoing_.contains(link); }
  void onLinkOpened(runtime::LinkId link);
  void onLinkClosed(runtime::LinkId link, TimePoint now);
  /// To be called when a consensus message from that replica arrived on an incoming link.
  void onHeard(consensus::ReplicaId from, runtime::LinkId link);

  void send(wire::ConsensusMessageT message);
  /// @return the outgoing link to that replica if it is open.
  std::optional<runtime::LinkId> linkTo(consensus::ReplicaId replica) const;
  /// @return the listen address of that replica, if known.
  std::optional<runtime::Address> addressOf(consensus::ReplicaId replica) const;

  void stop() { stopped_ = true; }
  void onTimer(TimePoint now);
  TimePoint nextTimer() const;

 private:
  struct Peer {
    explicit Peer(const StoreOptions& options)
        : backoff(options.reconnect_minimum, options.reconnect_maximum) {}
    runtime::Address address;
    std::optional<runtime::LinkId> link;
    bool is_open = false;
    TimePoint connect_at;
    runtime::ReconnectBackoff backoff;
    runtime::ConnectLimit connect_limit;
  };

  /// Adds the replica to the peers, or reconnects to it if its address changed.
  void addOrUpdatePeer(const wire::ReplicaT& replica, TimePoint now);
  void disconnect(Peer& peer);

  StoreContext& context_;
  std::map<consensus::ReplicaId, Peer> peers_;
  std::map<runtime::LinkId, consensus::ReplicaId> outgoing_;
  /// Incoming link on which the last message of each replica arrived, including replicas that are not yet in
  /// `peers_`.
  std::map<consensus::ReplicaId, runtime::LinkId> incoming_;
  bool stopped_ = false;
};

}  // namespace cometstand::store

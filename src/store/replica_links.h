#pragma once

#include <map>
#include <optional>

#include "runtime/reconnect_backoff.h"
#include "store/store_context.h"

namespace cometstand::store {

/// This replica's links to the others. It opens one to each replica it knows of and sends its own messages
/// and forwarded commands over it; a replica that cannot be reached so is answered over the link on which it
/// sent its last message. Lost messages are left to the consensus module to repeat.
class ReplicaLinks {
 public:
  explicit ReplicaLinks(StoreContext& context) : context_(context) {}

  /// Adapts to the membership and to the settings; to be called after each step.
  void refresh(TimePoint now);

  /// @return true if the link was opened by this object and has not ended.
  bool owns(runtime::LinkId link) const { return outgoing_.contains(link); }
  void onLinkOpened(runtime::LinkId link);
  void onLinkClosed(runtime::LinkId link, TimePoint now);
  /// A consensus message of that replica came on an incoming link.
  void onHeard(consensus::ReplicaId from, runtime::LinkId link);

  void send(wire::ConsensusMessageT message);
  /// @return the open link to that replica.
  std::optional<runtime::LinkId> linkTo(consensus::ReplicaId replica) const;
  /// @return where that replica listens.
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

  void learn(const wire::ReplicaT& replica, TimePoint now);
  void disconnect(Peer& peer);

  StoreContext& context_;
  std::map<consensus::ReplicaId, Peer> peers_;
  std::map<runtime::LinkId, consensus::ReplicaId> outgoing_;
  /// Where a replica's last message came from; also of replicas that this one does not know yet.
  std::map<consensus::ReplicaId, runtime::LinkId> incoming_;
  bool stopped_ = false;
};

}  // namespace cometstand::store

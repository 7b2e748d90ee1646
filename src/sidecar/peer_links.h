#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "base/random.h"
#include "runtime/action_queue.h"
#include "runtime/reconnect_backoff.h"

namespace cometstand::sidecar {

/// Maintains one link to each address of a set, which the owner determines, and reconnects links that close.
///
/// First connects are made in small batches, in the order in which the addresses were added, so that the
/// first links can be used while the others are still being opened, and requests are processed between
/// batches.
class PeerLinks {
 public:
  PeerLinks(runtime::ActionQueue& actions, RandomSource& random) : actions_(actions), random_(random) {}

  /// Adds an address to which a link is maintained.
  void add(const runtime::Address& address, TimePoint now);
  /// Closes the link to the address and removes the address.
  void remove(const runtime::Address& address);
  bool contains(const runtime::Address& address) const { return peers_.contains(address); }
  /// @return all addresses to which links are maintained.
  std::vector<runtime::Address> all() const;

  /// @return true if this object opened the link and the link is not closed.
  bool owns(runtime::LinkId link) const { return addresses_.contains(link); }
  /// @return the address of the link's peer; none if the link is not owned by this object.
  std::optional<runtime::Address> onLinkOpened(runtime::LinkId link);
  /// @return the address of the closed link's peer; none if the link was not owned by this object.
  std::optional<runtime::Address> onLinkClosed(runtime::LinkId link, TimePoint now);

  std::optional<runtime::Address> addressOf(runtime::LinkId link) const;
  /// @return the open link to the address.
  std::optional<runtime::LinkId> linkTo(const runtime::Address& address) const;

  /// Closes the link to the address; it is reconnected after a backoff.
  void reset(const runtime::Address& address);

  void onTimer(TimePoint now);
  TimePoint nextTimer() const;

  /// Number of first connects in a batch and the interval between batches: 200 connects per second.
  static constexpr std::size_t kConnectBatchSize = 8;
  static constexpr Duration kConnectBatchInterval = std::chrono::milliseconds(40);

 private:
  struct Peer {
    std::optional<runtime::LinkId> link;
    bool is_open = false;
    TimePoint connect_at;
    runtime::ReconnectBackoff backoff;
    runtime::ConnectLimit connect_limit;
  };

  void connect(const runtime::Address& address, Peer& peer);
  void connectBatch(TimePoint now);

  runtime::ActionQueue& actions_;
  RandomSource& random_;
  std::map<runtime::Address, Peer> peers_;
  std::map<runtime::LinkId, runtime::Address> addresses_;
  /// Peers without a link by the time of their next connect. The set is ordered because there can be hundreds
  /// of peers and nextTimer() is called after each message.
  std::set<std::pair<TimePoint, runtime::Address>> reconnects_;
  /// Peers without a first connect, in the order in which they were added.
  std::deque<runtime::Address> unconnected_;
  /// First connects in the current batch, and the start time of the next batch.
  std::size_t batch_connects_ = 0;
  TimePoint next_batch_at_;
};

}  // namespace cometstand::sidecar

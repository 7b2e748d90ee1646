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

/// One link to each of a set of addresses, opened again when it ends. Which addresses those are, the owner
/// says.
///
/// The first connects are made a few at a time, in the order in which addresses were added, so that the first
/// links are of use while the others still open: on a tenth of a core 128 connects at once, and as many from
/// other machines, took 0.37 s in which nothing else was done.
class PeerLinks {
 public:
  PeerLinks(runtime::ActionQueue& actions, RandomSource& random) : actions_(actions), random_(random) {}

  /// Keeps a link to the address from now on.
  void add(const runtime::Address& address, TimePoint now);
  /// Closes the link to the address and forgets it.
  void remove(const runtime::Address& address);
  bool contains(const runtime::Address& address) const { return peers_.contains(address); }
  /// @return all addresses to which links are kept.
  std::vector<runtime::Address> all() const;

  /// @return true if the link was opened by this object and has not ended.
  bool owns(runtime::LinkId link) const { return addresses_.contains(link); }
  /// @return the address to which the link leads.
  std::optional<runtime::Address> onLinkOpened(runtime::LinkId link);
  /// @return the address to which the link led.
  std::optional<runtime::Address> onLinkClosed(runtime::LinkId link, TimePoint now);

  std::optional<runtime::Address> addressOf(runtime::LinkId link) const;
  /// @return the open link to the address.
  std::optional<runtime::LinkId> linkTo(const runtime::Address& address) const;

  /// Ends the link to the address; it is opened again after a pause.
  void reset(const runtime::Address& address);

  void onTimer(TimePoint now);
  TimePoint nextTimer() const;

  /// First connects that are made at once, and the pause before the next: 200 a second.
  static constexpr std::size_t kConnectsAtOnce = 8;
  static constexpr Duration kConnectPause = std::chrono::milliseconds(40);

 private:
  struct Peer {
    std::optional<runtime::LinkId> link;
    bool is_open = false;
    TimePoint connect_at;
    runtime::ReconnectBackoff backoff;
    runtime::ConnectLimit connect_limit;
  };

  void connect(const runtime::Address& address, Peer& peer);
  void connectFresh(TimePoint now);

  runtime::ActionQueue& actions_;
  RandomSource& random_;
  std::map<runtime::Address, Peer> peers_;
  std::map<runtime::LinkId, runtime::Address> addresses_;
  /// The peers without a link, by the time of their next connect: there are hundreds of peers, and the next
  /// timer is asked for after each message.
  std::set<std::pair<TimePoint, runtime::Address>> due_;
  /// Those that were never connected, in their order.
  std::deque<runtime::Address> fresh_;
  /// Their connects since the last pause, and when it ends.
  std::size_t fresh_made_ = 0;
  TimePoint fresh_at_;
};

}  // namespace cometstand::sidecar

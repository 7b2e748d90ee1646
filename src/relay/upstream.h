#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "relay/relay_options.h"
#include "runtime/action_queue.h"
#include "runtime/reconnect_backoff.h"

namespace cometstand::relay {

/// The relay's link to where it reads the configuration: the store's leader, or the relay that reads for the
/// zone. Goes where refusals point, and elsewhere when beats stop. On a Goodbye the next upstream serves
/// before the old one is left.
class Upstream {
 public:
  Upstream(const RelayOptions& options, runtime::ActionQueue& actions, RandomSource& random);

  void start(TimePoint now);

  /// @return true if the link was opened by this object and has not ended.
  bool owns(runtime::LinkId link) const;

  /// @return the link in use: it has sent configuration or a beat.
  std::optional<runtime::LinkId> link() const;

  /// @return the address of the upstream in use, if that is another relay.
  std::optional<runtime::Address> relayInUse() const;

  /// @return true while beats of a quorum arrive.
  bool isFresh(TimePoint now) const;

  void onLinkOpened(runtime::LinkId link, const runtime::PeerIdentity& peer, std::uint64_t have_version,
                    TimePoint now);
  void onLinkClosed(runtime::LinkId link, TimePoint now);

  /// Configuration came on the link. @return true if the link came into use by it.
  bool onConfiguration(runtime::LinkId link, TimePoint now);
  /// A QuorumBeat came on the link. @return true if the link came into use by it.
  bool onBeat(runtime::LinkId link, std::uint64_t term, std::uint64_t round, TimePoint now);
  void onRefusal(runtime::LinkId link, const wire::RefusalT& refusal, TimePoint now);
  void onGoodbye(const wire::GoodbyeT& goodbye, TimePoint now);

  /// Leaves the upstream in use, for example because of a gap in its deltas, and looks for one anew.
  void abandon(TimePoint now);
  void stop();

  void onTimer(TimePoint now);
  TimePoint nextTimer() const;

 private:
  struct Connection {
    runtime::LinkId link{};
    runtime::Address address;
    TimePoint since;
  };

  void connectNext(TimePoint now);
  void scheduleConnect(TimePoint now, Duration pause);
  bool promote(runtime::LinkId link, TimePoint now);
  void drop(std::optional<Connection>& connection);
  bool isPeer(const runtime::Address& address) const;
  void preferAlternatives(const std::vector<std::shared_ptr<wire::NetworkAddressT>>& alternatives);

  const RelayOptions& options_;
  runtime::ActionQueue& actions_;
  RandomSource& random_;
  runtime::ReconnectBackoff backoff_;
  std::optional<Connection> current_;
  std::optional<Connection> candidate_;
  /// An upstream that said goodbye and was replaced; answers may still come from it until it closes.
  std::optional<Connection> leaving_;
  std::deque<runtime::Address> alternatives_;
  std::size_t next_store_;
  unsigned redirects_ = 0;
  TimePoint connect_at_ = TimePoint::max();
  TimePoint last_beat_;
  std::uint64_t last_term_ = 0;
  std::uint64_t last_round_ = 0;
  bool stopped_ = false;
};

}  // namespace cometstand::relay

#pragma once

#include <map>
#include <string>
#include <vector>

#include "relay/configuration_index.h"
#include "relay/fleet_summary.h"
#include "runtime/action_queue.h"

namespace cometstand::relay {

/// Serves the other relays of the zone, which read the configuration from this one.
class FollowerHub {
 public:
  FollowerHub(runtime::ActionQueue& actions, const ConfigurationIndex& index)
      : actions_(actions), index_(index) {}

  void add(runtime::LinkId link, const wire::FollowRequestT& request);
  void remove(runtime::LinkId link) { followers_.erase(link); }
  bool contains(runtime::LinkId link) const { return followers_.contains(link); }

  /// Sends what is new to each follower; equal positions share one message.
  void onChanged();
  /// Passes a beat on. It speaks for this relay's upstream, not for the follower's version.
  void onBeat(const wire::QuorumBeatT& beat);
  void onReport(runtime::LinkId link, const wire::InForceReportT& report);

  void sendToAll(const wire::StopOrderT& order);
  /// Tells the followers to read from elsewhere.
  void sendGoodbye();

  std::vector<runtime::LinkId> links() const;
  /// @return the sum of the followers' reports.
  FleetSummary summary() const;

 private:
  struct Follower {
    std::string name;
    std::uint64_t version = 0;
    FleetSummary reported;
  };

  void bringUpToDate(runtime::LinkId link, Follower& follower);
  runtime::MessagePointer messageFrom(std::uint64_t version);

  runtime::ActionQueue& actions_;
  const ConfigurationIndex& index_;
  std::map<runtime::LinkId, Follower> followers_;
  /// Messages by the version they start from, valid for `shared_at_`.
  std::map<std::uint64_t, runtime::MessagePointer> shared_;
  std::uint64_t shared_at_ = 0;
};

}  // namespace cometstand::relay

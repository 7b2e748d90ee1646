#pragma once

#include <map>
#include <string>
#include <utility>

#include "base/time.h"

namespace cometstand::sidecar {

/// Detects zones that no longer respond to this sidecar. A zone that loses power or connectivity takes many
/// endpoints down at once; without this detection each endpoint would cost one request that times out.
///
/// A zone is unresponsive once two of its machines have failed within one second, each by a closed link or an
/// overdue reply, and no endpoint of the zone has made contact since the first failure. Contact with any
/// endpoint of the zone ends this state. Until then single requests are sent to the zone as probes, at
/// increasing intervals as long as they get no reply. The zone of this sidecar is never unresponsive: if it
/// does not respond, this machine itself is cut off.
///
/// The state is local to this sidecar and is not shared with others.
class ZoneHealth {
 public:
  /// @param own_zone the zone of this sidecar.
  explicit ZoneHealth(std::string own_zone) : own_zone_(std::move(own_zone)) {}

  /// Records that an endpoint of the zone replied or that a link to one was opened.
  void noteContact(const std::string& zone, TimePoint now);
  /// Records that the link to a live endpoint of the zone ended or that the endpoint's reply is overdue. May
  /// be called repeatedly while the reply is overdue. Has no effect if there was contact with the zone since.
  /// @param host the machine of the endpoint.
  /// @param failed_at the time at which the link ended or the reply became overdue.
  void noteFailure(const std::string& zone, const std::string& host, TimePoint failed_at);

  bool isUnresponsive(const std::string& zone) const;
  /// @return true if the zone is unresponsive and the next probe is due.
  bool isProbeDue(const std::string& zone, TimePoint now) const;
  /// Records that a request is sent to the unresponsive zone as a probe.
  void noteProbe(const std::string& zone, TimePoint now);

 private:
  struct Zone {
    TimePoint last_contact_at;
    /// Machines that failed recently and after the last contact with the zone, with the time of failure.
    std::map<std::string, TimePoint> failed_hosts;
    bool is_unresponsive = false;
    TimePoint next_probe_at;
    Duration probe_interval{};
  };

  std::string own_zone_;
  std::map<std::string, Zone> zones_;
};

}  // namespace cometstand::sidecar

#pragma once

#include <map>
#include <string>
#include <utility>

#include "base/time.h"

namespace cometstand::sidecar {

/// Which zones do not answer this sidecar any more. A zone that loses power or is cut off takes many
/// endpoints with it at once; asking each until its own time is up would cost one request each.
///
/// A zone is dark once two of its machines were missed within a second, each by an ended link or by silence,
/// and none of the zone was heard since the first of them. It is dark until any of its endpoints is heard.
/// Meanwhile one request at a time may be sent there to find out (a probe), ever more rarely while that
/// brings no answer. The zone of this sidecar is never dark: if it does not answer, this machine is what is
/// cut off.
///
/// All of it is this sidecar's own view: nothing is told to others.
class ZoneHealth {
 public:
  /// @param own_zone the zone of this sidecar.
  explicit ZoneHealth(std::string own_zone) : own_zone_(std::move(own_zone)) {}

  /// An endpoint of the zone answered, or the link to it was opened.
  void noteHeard(const std::string& zone, TimePoint now);
  /// The link to a live endpoint of the zone ended, or the endpoint is silent on requests that it has. May be
  /// called again and again while it is silent.
  /// @param host the machine of the endpoint. @param missed_at when the link ended, or the silence had become
  /// too long. Without effect if the zone was heard since.
  void noteMissed(const std::string& zone, const std::string& host, TimePoint missed_at);

  bool isDark(const std::string& zone) const;
  /// @return true if the zone is dark and the next probe is due.
  bool wantsProbe(const std::string& zone, TimePoint now) const;
  /// A request is sent to the dark zone.
  void noteProbe(const std::string& zone, TimePoint now);

 private:
  struct Zone {
    TimePoint heard_at;
    /// Machines that were missed lately and since the zone was last heard, and when.
    std::map<std::string, TimePoint> missed;
    bool is_dark = false;
    TimePoint probe_at;
    Duration probe_pause{};
  };

  std::string own_zone_;
  std::map<std::string, Zone> zones_;
};

}  // namespace cometstand::sidecar

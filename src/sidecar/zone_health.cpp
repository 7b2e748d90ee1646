#include "sidecar/zone_health.h"

#include <algorithm>

#include "base/event_log.h"
#include "sidecar/events.h"

namespace cometstand::sidecar {
namespace {

/// Minimum number of failed machines that distinguishes the failure of a zone from that of one machine.
constexpr std::size_t kMinFailedHosts = 2;
/// Time window in which the failures must occur. When a zone is cut off, the links to its machines end and
/// requests sent there become overdue within about one second.
constexpr Duration kFailureWindow = std::chrono::seconds(1);
/// Initial and maximum interval between two probes. Each probe may cost its caller the timeout of the
/// request. With 300 sidecars the zone gets 300 probes per second at first and 75 per second later.
constexpr Duration kInitialProbeInterval = std::chrono::seconds(1);
constexpr Duration kMaxProbeInterval = std::chrono::seconds(4);

}  // namespace

void ZoneHealth::noteContact(const std::string& zone, TimePoint now) {
  auto& state = zones_[zone];
  if (state.is_unresponsive) logEvent(kZoneResponsive, {{"zone", zone}});
  state = Zone();
  state.last_contact_at = now;
}

void ZoneHealth::noteFailure(const std::string& zone, const std::string& host, TimePoint failed_at) {
  if (zone == own_zone_) return;
  auto& state = zones_[zone];
  if (state.is_unresponsive || failed_at <= state.last_contact_at) return;
  std::erase_if(state.failed_hosts,
                [failed_at](const auto& item) { return item.second + kFailureWindow < failed_at; });
  state.failed_hosts.emplace(host, failed_at);
  if (state.failed_hosts.size() < kMinFailedHosts) return;
  state.is_unresponsive = true;
  state.probe_interval = kInitialProbeInterval;
  state.next_probe_at = failed_at + state.probe_interval;
  logEvent(kZoneUnresponsive, {{"zone", zone}, {"missed", state.failed_hosts.size()}});
}

bool ZoneHealth::isUnresponsive(const std::string& zone) const {
  const auto found = zones_.find(zone);
  return found != zones_.end() && found->second.is_unresponsive;
}

bool ZoneHealth::isProbeDue(const std::string& zone, TimePoint now) const {
  const auto found = zones_.find(zone);
  return found != zones_.end() && found->second.is_unresponsive && now >= found->second.next_probe_at;
}

void ZoneHealth::noteProbe(const std::string& zone, TimePoint now) {
  auto& state = zones_.at(zone);
  state.next_probe_at = now + state.probe_interval;
  state.probe_interval = std::min(2 * state.probe_interval, kMaxProbeInterval);
}

}  // namespace cometstand::sidecar

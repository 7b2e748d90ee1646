#include "sidecar/zone_health.h"

#include <algorithm>

#include "base/event_log.h"
#include "sidecar/events.h"

namespace cometstand::sidecar {
namespace {

/// The least that tells a zone from a machine.
constexpr std::size_t kFewestMissed = 2;
/// Links to the machines of a zone end, and requests there fall silent, within about a second of a cut.
constexpr Duration kMissedWindow = std::chrono::seconds(1);
/// Between two probes at first, and at most: each may cost its caller the time of the request. Reckoned: with
/// 300 sidecars the zone gets 300 requests a second at first, and 75 a second later on.
constexpr Duration kFirstProbePause = std::chrono::seconds(1);
constexpr Duration kLongestProbePause = std::chrono::seconds(4);

}  // namespace

void ZoneHealth::noteHeard(const std::string& zone, TimePoint now) {
  auto& state = zones_[zone];
  if (state.is_dark) logEvent(kZoneHeard, {{"zone", zone}});
  state = Zone();
  state.heard_at = now;
}

void ZoneHealth::noteMissed(const std::string& zone, const std::string& host, TimePoint missed_at) {
  if (zone == own_zone_) return;
  auto& state = zones_[zone];
  if (state.is_dark || missed_at <= state.heard_at) return;
  std::erase_if(state.missed,
                [missed_at](const auto& item) { return item.second + kMissedWindow < missed_at; });
  state.missed.emplace(host, missed_at);
  if (state.missed.size() < kFewestMissed) return;
  state.is_dark = true;
  state.probe_pause = kFirstProbePause;
  state.probe_at = missed_at + state.probe_pause;
  logEvent(kZoneDark, {{"zone", zone}, {"missed", state.missed.size()}});
}

bool ZoneHealth::isDark(const std::string& zone) const {
  const auto found = zones_.find(zone);
  return found != zones_.end() && found->second.is_dark;
}

bool ZoneHealth::wantsProbe(const std::string& zone, TimePoint now) const {
  const auto found = zones_.find(zone);
  return found != zones_.end() && found->second.is_dark && now >= found->second.probe_at;
}

void ZoneHealth::noteProbe(const std::string& zone, TimePoint now) {
  auto& state = zones_.at(zone);
  state.probe_at = now + state.probe_pause;
  state.probe_pause = std::min(2 * state.probe_pause, kLongestProbePause);
}

}  // namespace cometstand::sidecar

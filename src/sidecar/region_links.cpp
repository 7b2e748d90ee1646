#include "sidecar/region_links.h"

#include <algorithm>

#include "base/event_log.h"
#include "sidecar/events.h"

namespace cometstand::sidecar {
namespace {

/// Part of a link's capacity for requests and answers; the rest is for configurations, records and
/// heartbeats, and for what transport adds. Reckoned.
constexpr double kUsableShare = 0.8;
/// Each direction carries requests of the one region and answers to the other.
constexpr double kUsersOfDirection = 2;
/// What a request and its answer take besides their bodies: fields and frames. Reckoned.
constexpr std::size_t kOverheadBytes = 1'000;
/// Requests with no more bytes than this are small.
constexpr std::size_t kSmallBytes = 4 * 1024;
/// A way shows a queue if it takes longer than without one by this part, and by this time at least: less may
/// be the endpoints' processors. Reckoned.
constexpr double kQueuedRise = 0.5;
constexpr Duration kLeastQueuedRise = std::chrono::milliseconds(15);

TransferClass classOf(const EndpointWant& want) {
  const bool is_small = want.bytes <= kSmallBytes;
  if (want.is_urgent && is_small) return TransferClass::First;
  return want.is_urgent || is_small ? TransferClass::Second : TransferClass::Last;
}

}  // namespace

void RegionLinks::setSenders(std::size_t senders) {
  const double capacity = options_.region_link_bandwidth;
  if (capacity <= 0) return;
  const auto count = static_cast<double>(std::max<std::size_t>(1, senders));
  ceiling_ = capacity * kUsableShare / kUsersOfDirection / count;
  for (auto& [name, region] : regions_) region.share.setCeiling(ceiling_);
}

RegionLinks::Region& RegionLinks::regionOf(const Endpoint& endpoint) {
  const auto [region, is_new] = regions_.try_emplace(options_.zones.regionOf(endpoint.zone));
  if (is_new) region->second.share.setCeiling(ceiling_);
  return region->second;
}

bool RegionLinks::admits(const Endpoint& endpoint, const EndpointWant& want, TimePoint now) {
  if (distanceOf(endpoint) != mesh::ZoneDistance::OtherRegion) return true;
  return regionOf(endpoint).share.admits(want.bytes + kOverheadBytes, classOf(want), now);
}

void RegionLinks::onSent(const Endpoint& endpoint, std::size_t bytes, TimePoint now) {
  if (distanceOf(endpoint) != mesh::ZoneDistance::OtherRegion) return;
  regionOf(endpoint).share.take(bytes + kOverheadBytes, now);
}

void RegionLinks::onEnded(const Endpoint& endpoint, const Transfer& transfer, TimePoint now) {
  if (options_.zones.empty()) return;
  auto& region = regionOf(endpoint);
  if (transfer.round_trip) region.meter.note(*transfer.round_trip, now);
  if (distanceOf(endpoint) != mesh::ZoneDistance::OtherRegion) return;
  const double more =
      static_cast<double>(transfer.actual_bytes) - static_cast<double>(transfer.expected_bytes);
  region.share.settle(more, now);
  const Duration rise = region.meter.rise(now);
  if (!region.share.adapt(isQueued(region, now), now)) return;
  logEvent(kRegionLinkReduced, {{"region", options_.zones.regionOf(endpoint.zone)},
                                {"bytes_per_second", region.share.rate()},
                                {"round_trip_ms", ceilMilliseconds(region.meter.floor() + rise)},
                                {"least_round_trip_ms", ceilMilliseconds(region.meter.floor())}});
}

/// What makes the endpoints of the own region slow as well, such as this machine's own link or processor, is
/// no queue between the regions.
bool RegionLinks::isQueued(const Region& region, TimePoint now) const {
  const auto own = regions_.find(options_.zones.regionOf(options_.zone));
  const Duration own_rise = own == regions_.end() ? Duration::zero() : own->second.meter.rise(now);
  const auto part = std::chrono::duration_cast<Duration>(kQueuedRise * region.meter.floor());
  return region.meter.rise(now) - own_rise > std::max(part, kLeastQueuedRise);
}

Duration RegionLinks::roundTrip(const Endpoint& endpoint, TimePoint now) const {
  const auto region = regions_.find(options_.zones.regionOf(endpoint.zone));
  if (region == regions_.end()) return options_.region_round_trip;
  return region->second.meter.latest(now).value_or(options_.region_round_trip);
}

std::map<std::string, double> RegionLinks::rates() const {
  std::map<std::string, double> rates;
  const auto& own = options_.zones.regionOf(options_.zone);
  for (const auto& [name, region] : regions_) {
    if (name != own) rates[name] = region.share.rate();
  }
  return rates;
}

}  // namespace cometstand::sidecar

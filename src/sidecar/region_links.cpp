#include "sidecar/region_links.h"

#include <algorithm>

#include "base/event_log.h"
#include "sidecar/events.h"

namespace cometstand::sidecar {
namespace {

/// Part of a link's capacity for requests and answers; the rest is for configurations, records, heartbeats
/// and the overhead of the transport protocol.
constexpr double kUsableShare = 0.8;
/// Each direction of a link carries the requests of one region and the answers to the requests of the other.
constexpr double kFlowsPerDirection = 2;
/// Estimated bytes of a request and its answer besides their bodies: header fields and framing.
constexpr std::size_t kOverheadBytes = 1'000;
/// Largest size of a request that counts as small.
constexpr std::size_t kMaxSmallBytes = 4 * 1024;
/// A link counts as queued if its round-trip time has risen by more than this part of its minimum and by more
/// than kMinQueuedRise; a smaller rise may be due to the load of the endpoints' processors.
constexpr double kMinQueuedRiseShare = 0.5;
constexpr Duration kMinQueuedRise = std::chrono::milliseconds(15);

TransferPriority classOf(const EndpointCriteria& criteria) {
  const bool is_small = criteria.bytes <= kMaxSmallBytes;
  if (criteria.is_urgent && is_small) return TransferPriority::High;
  return criteria.is_urgent || is_small ? TransferPriority::Normal : TransferPriority::Low;
}

}  // namespace

void RegionLinks::setSenderCount(std::size_t senders) {
  const double capacity = options_.region_link_bandwidth;
  if (capacity <= 0) return;
  const auto count = static_cast<double>(std::max<std::size_t>(1, senders));
  ceiling_ = capacity * kUsableShare / kFlowsPerDirection / count;
  for (auto& [name, region] : regions_) region.share.setCeiling(ceiling_);
}

RegionLinks::Region& RegionLinks::regionOf(const Endpoint& endpoint) {
  const auto [region, is_new] = regions_.try_emplace(options_.zones.regionOf(endpoint.zone));
  if (is_new) region->second.share.setCeiling(ceiling_);
  return region->second;
}

bool RegionLinks::admits(const Endpoint& endpoint, const EndpointCriteria& criteria, TimePoint now) {
  if (distanceOf(endpoint) != mesh::ZoneDistance::OtherRegion) return true;
  return regionOf(endpoint).share.admits(criteria.bytes + kOverheadBytes, classOf(criteria), now);
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

/// Subtracts the rise of the round-trip time in the own region, because causes that slow down its endpoints
/// as well, such as this host's own link or processor, are no queue between the regions.
bool RegionLinks::isQueued(const Region& region, TimePoint now) const {
  const auto own = regions_.find(options_.zones.regionOf(options_.zone));
  const Duration own_rise = own == regions_.end() ? Duration::zero() : own->second.meter.rise(now);
  const auto part = std::chrono::duration_cast<Duration>(kMinQueuedRiseShare * region.meter.floor());
  return region.meter.rise(now) - own_rise > std::max(part, kMinQueuedRise);
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

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "sidecar/endpoint.h"
#include "sidecar/link_share.h"
#include "sidecar/round_trip_meter.h"
#include "sidecar/sidecar_options.h"

namespace cometstand::sidecar {

/// Size and round-trip time of one attempt, request and answer together.
struct Transfer {
  /// Bytes that were charged to the link's share when the request was sent.
  std::size_t expected_bytes = 0;
  std::size_t actual_bytes = 0;
  /// Round-trip time without processing; none if large bodies took most of that time.
  std::optional<Duration> round_trip;
};

/// Tracks the round-trip time from this sender's region to the other ones and limits the bytes it sends
/// there. All senders of a region share one link to each other region without knowing each other's load, so
/// each keeps to an equal part of the capacity, if that is known, and to less while the round-trip time shows
/// a queue.
class RegionLinks {
 public:
  /// @param options must outlive the object.
  explicit RegionLinks(const SidecarOptions& options) : options_(options) {}

  mesh::ZoneDistance distanceOf(const Endpoint& endpoint) const {
    return options_.zones.distance(options_.zone, endpoint.zone);
  }
  /// @param senders the number of senders in the own region, this one included.
  void setSenderCount(std::size_t senders);

  /// @return false if this sender's share of the link to the endpoint's region is used up for such a request.
  bool admits(const Endpoint& endpoint, const EndpointCriteria& criteria, TimePoint now);
  void onSent(const Endpoint& endpoint, std::size_t bytes, TimePoint now);
  void onEnded(const Endpoint& endpoint, const Transfer& transfer, TimePoint now);

  /// @return the round-trip time to the endpoint's region: the latest sample, or the configured one if there
  /// is none.
  Duration roundTrip(const Endpoint& endpoint, TimePoint now) const;
  /// @return the bytes a second that this sender may send, by name of the other region.
  std::map<std::string, double> rates() const;
  /// @return the number of requests for which endpoints of another region were excluded because the link's
  /// share was used up.
  std::uint64_t throttledRequests() const { return throttled_; }
  void noteThrottled() { ++throttled_; }

 private:
  struct Region {
    RoundTripMeter meter;
    LinkShare share;
  };

  Region& regionOf(const Endpoint& endpoint);
  bool isQueued(const Region& region, TimePoint now) const;

  const SidecarOptions& options_;
  /// Regions by name. The own region is included as the baseline: slowness that shows there, too, is not
  /// caused by the links between regions.
  std::map<std::string, Region> regions_;
  double ceiling_ = LinkShare::kUnbounded;
  std::uint64_t throttled_ = 0;
};

}  // namespace cometstand::sidecar

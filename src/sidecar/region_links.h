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

/// What a request that was sent and its answer made of the way.
struct Transfer {
  /// Bytes that were taken for it.
  std::size_t expected_bytes = 0;
  std::size_t actual_bytes = 0;
  /// Time of the way there and back; nothing if it says more of the bodies than of the way.
  std::optional<Duration> round_trip;
};

/// This sender's use of the links between its region and the others: how long the way is, and how many bytes
/// it may have there. All senders of a region use one link, and none knows what the others do: each keeps to
/// an equal part of the capacity, as far as that is known, and to less while the way shows a queue.
class RegionLinks {
 public:
  /// @param options must outlive the object.
  explicit RegionLinks(const SidecarOptions& options) : options_(options) {}

  mesh::ZoneDistance distanceOf(const Endpoint& endpoint) const {
    return options_.zones.distance(options_.zone, endpoint.zone);
  }
  /// @param senders of the own region, this one included.
  void setSenders(std::size_t senders);

  /// @return false if this sender's share of the link to the endpoint's region is used up for such a request.
  bool admits(const Endpoint& endpoint, const EndpointWant& want, TimePoint now);
  void onSent(const Endpoint& endpoint, std::size_t bytes, TimePoint now);
  void onEnded(const Endpoint& endpoint, const Transfer& transfer, TimePoint now);

  /// @return the time to the endpoint's region and back, as measured or else as the settings say.
  Duration roundTrip(const Endpoint& endpoint, TimePoint now) const;
  /// @return bytes a second that this sender may use, by region.
  std::map<std::string, double> rates() const;
  /// Requests for which endpoints of another region were left out, since the share was used up.
  std::uint64_t heldBack() const { return held_back_; }
  void noteHeldBack() { ++held_back_; }

 private:
  struct Region {
    RoundTripMeter meter;
    LinkShare share;
  };

  Region& regionOf(const Endpoint& endpoint);
  bool isQueued(const Region& region, TimePoint now) const;

  const SidecarOptions& options_;
  /// By name; the own one too, as what is slow there is not the link between regions.
  std::map<std::string, Region> regions_;
  double ceiling_ = LinkShare::kUnbounded;
  std::uint64_t held_back_ = 0;
};

}  // namespace cometstand::sidecar

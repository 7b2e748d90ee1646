#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include "base/time.h"
#include "mesh/zone_map.h"
#include "runtime/process_core.h"

namespace cometstand::sidecar {

/// Cost of sending a request to another zone, in units of the load of a full target: an endpoint of the own
/// zone is preferred until its load is higher by this cost. The cost grows with the number of bytes, since
/// links between zones are narrow and charged by volume.
struct OtherZoneCost {
  /// Cost of a request without a body whose response has no body either. Default 0.15, range 0 to 10.
  double base = 0.3;
  /// Number of bytes whose cost equals the load of a full target. Default 7,000, range 1 to 1,000,000,000.
  double bytes_per_target = 8'000;

  double of(std::size_t bytes) const { return base + static_cast<double>(bytes) / bytes_per_target; }
};

/// Options of a sidecar proxy. Each comment states unit, default and range.
struct SidecarOptions {
  /// Name of this machine, unique in the mesh.
  std::string node;
  std::string zone;
  /// All zones and their regions; empty if all zones are in one region.
  mesh::ZoneMap zones;
  /// Service of the target beside this sidecar according to the settings; the service that the target reports
  /// takes precedence.
  std::string service;
  /// Address at which other sidecars and stores reach this sidecar.
  runtime::Address advertise;
  /// Initial stores; the other stores are discovered through them.
  std::vector<runtime::Address> seeds;

  /// Limit on the additional attempts, beyond the first of each request, of all sidecars together, as a ratio
  /// of the requests for a service. Each sidecar uses at most half of that ratio for its own requests, since
  /// the sum of many small counts fluctuates. Default 0.2, range 0 to 1.
  double retry_ratio = 0.2;
  /// Number of additional attempts that may accumulate for a service. Default 3, range 0 to 1,000.
  double retry_burst = 3;

  /// Number of additional attempts that all sidecars together may make in a window of ten seconds beyond the
  /// ratio. Default 64, range 0 to 1,000,000.
  double retry_slack = 64;

  /// Maximum number of endpoints that a request is sent to one after another while each of them refuses it.
  /// Default 2, range 1 to 10. Under overload, each further attempt uses more capacity of narrow links than
  /// it gains in free slots (docs/design/shifted-work.md).
  unsigned max_refusals = 2;

  OtherZoneCost zone_cost;

  /// Number of bytes whose cost between regions, in addition to the cost between zones, equals the load of a
  /// full target. Default 8,000, range 1 to 1,000,000,000.
  double region_bytes_per_target = 8'000;
  /// Assumed round-trip time to another region while there is no recent measurement. Microseconds, default
  /// 60 ms, range 0 to 10 s.
  Duration region_round_trip = std::chrono::milliseconds(60);
  /// Bandwidth of the link between two regions in each direction, in bytes per second, shared by all senders;
  /// 0 if it is unknown or unlimited. Default 0, range 0 to 1e12.
  double region_link_bandwidth = 0;
  /// Responses from other machines with larger bodies are sent in parts, for which this sidecar grants
  /// credit, so that other messages can be sent in between; 0: each response is sent in one message. Bytes,
  /// default 0, range 0 to 1,000,000.
  unsigned answer_credit = 0;

  /// Share of a request's latency objective that it may wait for a slot of its target. Default 0.15, range 0
  /// to 1. Under overload, responses were late with 0.4, and too few requests were served with 0.08.
  double queue_share = 0.15;

  /// Minimum time that a request may wait for a slot, however short its latency objective. Microseconds,
  /// default 20 ms, range 0 to 10 s.
  Duration min_queue_wait = std::chrono::milliseconds(20);

  /// The last free slot of a target is reserved for requests whose latency objective is less than this many
  /// times the shortest objective received. Default 4, range 1 to 1,000,000.
  unsigned long_objective_ratio = 4;

  /// Limit on the requests that a cold target gets in any second: the service's rate for cold targets times
  /// cold_overshoot, plus cold_slack. Defaults 1.5 and 8, ranges 1 to 100 and 0 to 100,000.
  double cold_overshoot = 1.5;
  double cold_slack = 8;

  /// Time during which new requests are still sent to a target that has begun to leave, until the other
  /// sidecars are notified. Microseconds, default 300 ms, range 0 to 10 s.
  Duration leaving_grace = std::chrono::milliseconds(300);
  /// Minimum time in a planned stop during which callers are still served after the sidecar reported that it
  /// is not ready. Microseconds, default 2.3 s, range 0 to 60 s.
  Duration stop_minimum = std::chrono::milliseconds(2'300);
  /// Time in a planned stop after which only requests with a deadline before requestCancelTime() are
  /// accepted. Microseconds, default 2.8 s, range 0 to 60 s.
  Duration stop_accept_all = std::chrono::milliseconds(2'800);
  /// Time after which the process is killed if a planned stop is not complete. Microseconds, default 6 s,
  /// range 300 ms to 10 min.
  Duration stop_time_limit = std::chrono::seconds(6);

  /// @return time after the beginning of a planned stop at which the remaining requests are cancelled, which
  /// leaves kStopReserve to send the last responses and to exit.
  Duration requestCancelTime() const { return stop_time_limit - kStopReserve; }

  /// @return time after the beginning of a planned stop at which the process exits, even if responses to
  /// callers are still being sent.
  Duration processExitTime() const { return stop_time_limit - kExitReserve; }

  /// Time reserved for sending the last responses and for the exit of the process.
  static constexpr Duration kStopReserve = std::chrono::milliseconds(200);
  /// Time reserved for the exit of the process.
  static constexpr Duration kExitReserve = std::chrono::milliseconds(100);
};

}  // namespace cometstand::sidecar

#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include "base/time.h"
#include "mesh/zone_map.h"
#include "runtime/process_core.h"

namespace cometstand::sidecar {

/// What sending a request to another zone costs, in units of a full target: an endpoint of the own zone is
/// preferred until it has so much more to do. Links between zones are narrow and paid for, so bytes count.
struct OtherZoneCost {
  /// Of a request without a body whose answer has none. Default 0.15, range 0 to 10.
  double base = 0.3;
  /// Bytes that cost as much as a full target. Default 7,000, range 1 to 1,000,000,000.
  double bytes_per_target = 8'000;

  double of(std::size_t bytes) const { return base + static_cast<double>(bytes) / bytes_per_target; }
};

/// Tunables of one sidecar proxy: every value with unit, default and range.
struct SidecarOptions {
  /// Name of this machine, unique in the mesh.
  std::string node;
  std::string zone;
  /// All zones and their regions; empty if zones are in one region.
  mesh::ZoneMap zones;
  /// Service of the target beside it, as the settings say; what the target says of itself counts more.
  std::string service;
  /// Where other sidecars and stores reach this one.
  runtime::Address advertise;
  /// Stores to begin with; the others are learned from them.
  std::vector<runtime::Address> seeds;

  /// Sendings beyond the first of each request that all sidecars together may add, as a share of the requests
  /// for a service. Each adds half of that share of its own requests at most, since sums of small numbers
  /// vary. Default 0.2, range 0 to 1.
  double retry_ratio = 0.2;
  /// Such sendings that may be saved up for a service. Default 3, range 0 to 1,000.
  double retry_burst = 3;

  /// Such sendings in a window of ten seconds that all sidecars together may add beyond the share. Default
  /// 64, range 0 to 1,000,000.
  double retry_slack = 64;

  /// Most endpoints that are asked one after another for a request that none has run. Default 2, range 1
  /// to 10: under overload each further one costs more on narrow links than it finds
  /// (docs/design/shifted-work.md).
  unsigned max_refusals = 2;

  OtherZoneCost zone_cost;

  /// Bytes that cost as much as a full target between regions, besides what they cost between zones. Default
  /// 8,000, range 1 to 1,000,000,000.
  double region_bytes_per_target = 8'000;
  /// Time to another region and back while none was measured lately. Microseconds, default 60 ms, range 0 to
  /// 10 s.
  Duration region_round_trip = std::chrono::milliseconds(60);
  /// What the link between two regions carries each way, in bytes a second, for all senders together; 0 if
  /// that is not known or has no bound. Default 0, range 0 to 1e12.
  double region_link_bandwidth = 0;
  /// Answers of other machines' targets with larger bodies come in parts, as this sidecar grants them, so
  /// that other messages pass in between; 0: all come in one message. Bytes, default 0, range 0 to 1,000,000.
  unsigned answer_credit = 0;

  /// Part of a request's objective that it may wait for a slot of its target. Default 0.15, range 0 to 1:
  /// with 0.4 answers under overload came late, with 0.08 too few were served (docs/FURTHER.md, round 5).
  double queue_share = 0.15;

  /// Requests of a short objective may wait this long all the same. Microseconds, default 20 ms, range 0 to
  /// 10 s.
  Duration least_patience = std::chrono::milliseconds(20);

  /// Requests whose objective is so many times the shortest that comes leave the last slot of a target to
  /// others. Default 4, range 1 to 1,000,000.
  unsigned long_objective_ratio = 4;

  /// Operators' bound on what a cold target gets in any second: the service's rate for cold targets times the
  /// first, and the second besides. Defaults 1.5 and 8, ranges 1 to 100 and 0 to 100,000.
  double cold_overshoot = 1.5;
  double cold_slack = 8;

  /// How long new requests are still passed to a target that begins to leave: senders hear of it meanwhile.
  /// Microseconds, default 300 ms, range 0 to 10 s.
  Duration leaving_grace = std::chrono::milliseconds(300);
  /// A planned stop: callers are served at least this long after the sidecar said that it is not ready any
  /// more. Microseconds, default 2.3 s, range 0 to 60 s.
  Duration stop_minimum = std::chrono::milliseconds(2'300);
  /// A planned stop: after this time, only requests are taken whose own time is up before stopMaximum().
  /// Microseconds, default 2.8 s, range 0 to 60 s.
  Duration stop_accept_all = std::chrono::milliseconds(2'800);
  /// A planned stop must be complete after this time, or the process is killed. Microseconds, default 6 s,
  /// range 300 ms to 10 min.
  Duration stop_time_limit = std::chrono::seconds(6);

  /// @return when requests are given up in a planned stop: the last answers and the end of the process need a
  /// while.
  Duration stopMaximum() const { return stop_time_limit - kStopReserve; }

  /// @return when the process ends in a planned stop, whatever is still on its way to callers.
  Duration stopLimit() const { return stop_time_limit - kEndReserve; }

  static constexpr Duration kStopReserve = std::chrono::milliseconds(200);
  /// For the end of the process itself.
  static constexpr Duration kEndReserve = std::chrono::milliseconds(100);
};

}  // namespace cometstand::sidecar

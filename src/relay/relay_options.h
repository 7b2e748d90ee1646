#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"
#include "runtime/process_core.h"

namespace cometstand::relay {

/// Settings of one relay. Durations are in microseconds unless another unit is written.
struct RelayOptions {
  /// Unique in the mesh.
  std::string name;
  std::string zone;
  std::string region;
  /// Where proxies and other relays reach this relay.
  runtime::Address advertise;
  /// Replicas of the store.
  std::vector<runtime::Address> stores;
  /// All other relays of the mesh. A relay's own address among them is skipped.
  std::vector<runtime::Address> peers;

  /// The first change of a quiet period goes to proxies at once; those within this time after it together.
  Duration batch_window = std::chrono::milliseconds(50);
  /// Interval of ViewBeats to proxies and of QuorumBeats to following relays.
  Duration beat_interval = std::chrono::seconds(1);
  /// Without a QuorumBeat for this long, another upstream is looked for.
  Duration upstream_beat_limit = std::chrono::seconds(5);
  /// At most one InForceReport goes up in this time.
  Duration report_interval = std::chrono::milliseconds(500);
  /// How long a proxy without a view waits for a FreshnessRequest's answer or for the relay to catch up.
  Duration catch_up_limit = std::chrono::seconds(5);
  /// How long a claim or status request may take upstream.
  Duration request_limit = std::chrono::seconds(3);
  /// A link that names no role within this time is closed.
  Duration hello_limit = std::chrono::seconds(10);
  /// Proxies admitted per second after the burst.
  double join_rate = 200;
  double join_burst = 400;
  /// Proxies per second that a planned stop sends elsewhere.
  double handover_rate = 500;
  /// Connections in the reconnect storm are spread by these.
  Duration reconnect_minimum = std::chrono::milliseconds(200);
  Duration reconnect_maximum = std::chrono::seconds(5);
  /// At most one ConnectionShare goes to proxies in this time.
  Duration share_interval = std::chrono::seconds(1);
  /// How long the proxies of a relay that was lost still count.
  Duration peer_hold = std::chrono::seconds(60);
  /// An endpoint that no probe reached for this long is treated as leaving.
  Duration endpoint_lease = std::chrono::seconds(6);
  /// How long a proxy's own sighting of a leaving endpoint outranks probes and the machine list.
  Duration sighting_hold = std::chrono::seconds(10);
  /// Tombstones kept; older versions than the pruned ones get snapshots.
  std::size_t max_tombstones = 20'000;
  /// Longest time that a planned stop waits for proxies to leave.
  Duration stop_limit = std::chrono::seconds(5);
  /// Sequence number of the records that this run makes for endpoints it knows nothing of. It must be above
  /// what earlier runs and other relays gave, since proxies remember those: the program takes it from the
  /// system's clock, in microseconds since 1970.
  std::uint64_t first_sequence = 1;
  std::uint64_t seed = 1;
};

}  // namespace cometstand::relay

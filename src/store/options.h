#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"
#include "consensus/options.h"
#include "mesh/zone_map.h"
#include "runtime/process_core.h"
#include "schema/consensus_generated.h"
#include "store/quota_ledger.h"

namespace cometstand::store {

/// Tunables of one store replica: every value with unit, default and range.
struct StoreOptions {
  /// This replica. Its id is never reused, also not after its disk was lost.
  wire::ReplicaT self;

  /// The first voters of the cluster, this replica included if it is one; also where a replica looks for the
  /// others before it knows the membership.
  std::vector<wire::ReplicaT> initial_voters;

  /// True only on the very first start of a first voter. A replica that finds its folder empty later must not
  /// be started with it: it waits to be added as a learner under a new id.
  bool bootstrap = false;

  /// Where the first voters listen, if replicas form and join a cluster by themselves; empty if
  /// `initial_voters` and operators say who is a member. See seed_formation.h.
  std::vector<runtime::Address> seeds;

  /// Voters that the cluster keeps, if `seeds` is given. Default 3, range 1 to 9.
  std::size_t voters = 3;

  /// Zones whose voters may be lost at once, if `seeds` is given. Default 0, range 0 to 9.
  std::size_t tolerated_zone_losses = 0;
  /// All zones and their regions, if they are known.
  mesh::ZoneMap zones;

  /// A voter without an answer for this long is replaced, if `seeds` is given and a learner has caught up.
  /// Microseconds, default 3 s, range 100 ms to 24 h.
  Duration replace_silent_after = std::chrono::seconds(3);

  /// Operators' bound on what a version may get before it is promoted: this share of the service's requests
  /// since the order, and so many besides. Defaults 0.1 and 50, ranges 0 to 1 and 0 to 1,000,000.
  double rollout_exposure_share = 0.1;
  std::uint64_t rollout_exposure_slack = 50;

  /// What tenants' requests may be beyond their limits. Defaults 5 s, 0.1 and 20, ranges 1 ms to 1 h, 0 to 10
  /// and 0 to 1,000,000.
  QuotaBounds quota;

  consensus::ConsensusOptions consensus;

  /// Credential "bootstrap" of the tenant mesh, for the first administrator: salt, and SHA-256 of salt
  /// followed by token. An empty hash disables it.
  std::vector<std::uint8_t> bootstrap_salt;
  std::vector<std::uint8_t> bootstrap_token_hash;

  /// Relays that read the leader at once, over all zones. Default 64, range 1 to 1,000. One a zone besides.
  std::size_t max_readers = 64;
  /// Readers admitted per second once the burst is used up. Default 20, range 0.1 to 10,000.
  double reader_join_rate = 20;
  /// Readers admitted at once. Default 40, range 1 to 10,000.
  double reader_join_burst = 40;
  /// Time between two QuorumBeats to one reader. Microseconds, default 1 s, range 10 ms to 60 s.
  Duration beat_interval = std::chrono::seconds(1);

  /// Log entries of commands in flight at once; later commands share the next entry. Default 4, range 1
  /// to 64.
  std::size_t max_batches_in_flight = 4;
  /// Commands in one log entry. Default 256, range 1 to 10,000.
  std::size_t max_commands_per_batch = 256;
  /// Commands waiting for their log entry; more are refused with a time to come back. Default 10,000, range 1
  /// to 1,000,000.
  std::size_t max_commands_waiting = 10'000;

  /// Longest time that a command may take before its answer is `unknown`, or `not_run` if nothing was sent.
  /// Microseconds, default 5 s, range 100 ms to 10 min.
  Duration command_time_limit = std::chrono::seconds(5);
  /// Longest time that a query waits for the relays' answers. Microseconds, default 2 s, range 10 ms to 60 s.
  Duration status_time_limit = std::chrono::seconds(2);
  /// A claim that has been in progress for this long ends as unknown; longer than any request runs.
  /// Microseconds, default 15 min, range 1 s to 24 h.
  Duration claim_time_limit = std::chrono::minutes(15);
  /// Longest time that a replacement waits for the new replica to catch up. Microseconds, default 10 min,
  /// range 1 s to 24 h.
  Duration repair_time_limit = std::chrono::minutes(10);
  /// Longest `wait`, whatever the command asks. Microseconds, default 10 min, range 1 s to 24 h.
  Duration max_wait = std::chrono::minutes(10);
  /// When refused operators and relays should come back. Microseconds, default 500 ms, range 1 ms to 60 s.
  Duration retry_after = std::chrono::milliseconds(500);

  /// Reconnects to other replicas: exponential with full jitter between these. Microseconds, defaults 50 ms
  /// and 2 s, range 1 ms to 60 s.
  Duration reconnect_minimum = std::chrono::milliseconds(50);
  Duration reconnect_maximum = std::chrono::seconds(2);

  /// Longest time that a planned stop waits for another leader. Microseconds, default 3 s, range 0 to 60 s.
  Duration stop_time_limit = std::chrono::seconds(3);

  /// @throw Error(Invalid) if a value is out of its range; the message names the value.
  void check() const;
};

}  // namespace cometstand::store

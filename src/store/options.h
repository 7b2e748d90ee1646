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

/// Options of one store replica, each with its unit, default and range.
struct StoreOptions {
  /// Identity of this replica. An id is never reused, not even after the replica has lost its disk.
  wire::ReplicaT self;

  /// Initial voters of the cluster, including this replica if it is one of them. A replica that does not know
  /// the membership yet connects to these.
  std::vector<wire::ReplicaT> initial_voters;

  /// True only for the first start of an initial voter. A replica that has lost its data must be started
  /// without it, and is added as a learner under a new id.
  bool bootstrap = false;

  /// Addresses of the initial voters, if replicas form and join a cluster automatically; empty if
  /// `initial_voters` and operators' commands determine the membership. See seed_formation.h.
  std::vector<runtime::Address> seeds;

  /// Target number of voters, if `seeds` is given. Default 3, range 1 to 9.
  std::size_t voters = 3;

  /// Further voters while as many replicas are available, if `seeds` is given. With two, the quorum survives
  /// the loss of one voter and that of another before the first one has been replaced. Default 2, range 0
  /// to 8.
  std::size_t spare_voters = 2;

  /// Number of zones that may fail at the same time without loss of the quorum, if `seeds` is given. Default
  /// 0, range 0 to 9.
  std::size_t tolerated_zone_losses = 0;
  /// All zones and their regions, if known.
  mesh::ZoneMap zones;

  /// A voter that has not responded for this long is replaced, if `seeds` is given and a learner has caught
  /// up. Microseconds, default 3 s, range 100 ms to 24 h.
  Duration replace_silent_after = std::chrono::seconds(3);

  /// Limit on the requests that a version receives before its promotion: this share of the service's requests
  /// since the roll-out order, plus this constant. Defaults 0.1 and 50, ranges 0 to 1 and 0 to 1,000,000.
  double rollout_exposure_share = 0.1;
  std::uint64_t rollout_exposure_slack = 50;

  /// Bounds on the excess of tenants' requests over their quotas. Defaults 5 s, 0.1 and 20, ranges 1 ms to
  /// 1 h, 0 to 10 and 0 to 1,000,000.
  QuotaBounds quota;

  consensus::ConsensusOptions consensus;

  /// Credential "bootstrap" of the tenant "mesh", for the first administrator: the salt, and the SHA-256 hash
  /// of the salt followed by the token. An empty hash disables it.
  std::vector<std::uint8_t> bootstrap_salt;
  std::vector<std::uint8_t> bootstrap_token_hash;

  /// Maximum number of relays subscribed to the leader, over all zones; each zone has at most one. Default
  /// 64, range 1 to 1,000.
  std::size_t max_readers = 64;
  /// Refill rate of the token bucket that admits readers, per second. Default 20, range 0.1 to 10,000.
  double reader_join_rate = 20;
  /// Capacity of the token bucket that admits readers. Default 40, range 1 to 10,000.
  double reader_join_burst = 40;
  /// Interval between QuorumBeat messages to a reader. Microseconds, default 1 s, range 10 ms to 60 s.
  Duration beat_interval = std::chrono::seconds(1);

  /// Maximum number of log entries with commands in flight; further commands are batched into the next entry.
  /// Default 4, range 1 to 64.
  std::size_t max_batches_in_flight = 4;
  /// Maximum number of commands in one log entry. Default 256, range 1 to 10,000.
  std::size_t max_commands_per_batch = 256;
  /// Maximum number of commands queued for a log entry; further commands are refused with a retry delay.
  /// Default 10,000, range 1 to 1,000,000.
  std::size_t max_commands_waiting = 10'000;

  /// Timeout of a command. Its outcome is then `unknown`, or `not_run` if the command was not sent on.
  /// Microseconds, default 5 s, range 100 ms to 10 min.
  Duration command_time_limit = std::chrono::seconds(5);
  /// Timeout of a query for the relays' status reports. Microseconds, default 2 s, range 10 ms to 60 s.
  Duration status_time_limit = std::chrono::seconds(2);
  /// A claim that has been in progress for this long ends as unknown. Must be longer than the longest
  /// request. Microseconds, default 15 min, range 1 s to 24 h.
  Duration claim_time_limit = std::chrono::minutes(15);
  /// Timeout for a new replica to catch up with the log when it replaces another. Microseconds, default
  /// 10 min, range 1 s to 24 h.
  Duration repair_time_limit = std::chrono::minutes(10);
  /// Upper bound on the timeout that a `wait` command may request. Microseconds, default 10 min, range 1 s to
  /// 24 h.
  Duration max_wait = std::chrono::minutes(10);
  /// Retry delay sent to operators and relays whose request is refused. Microseconds, default 500 ms, range
  /// 1 ms to 60 s.
  Duration retry_after = std::chrono::milliseconds(500);

  /// Bounds of the exponential backoff with full jitter for reconnecting to other replicas. Microseconds,
  /// defaults 50 ms and 2 s, range 1 ms to 60 s.
  Duration reconnect_minimum = std::chrono::milliseconds(50);
  Duration reconnect_maximum = std::chrono::seconds(2);

  /// Timeout for the transfer of leadership during a graceful shutdown. Microseconds, default 3 s, range 0 to
  /// 60 s.
  Duration stop_time_limit = std::chrono::seconds(3);

  /// @throw Error(Invalid) if an option is out of its range; the message contains its name.
  void check() const;
};

}  // namespace cometstand::store

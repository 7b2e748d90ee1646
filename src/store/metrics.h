#pragma once

#include <cstdint>

namespace cometstand::store {

/// Counters and gauges of one replica, shown on the admin pages. Counters never decrease while the process
/// runs.
struct StoreMetrics {
  // Gauges.
  bool is_leader = false;
  std::uint64_t term = 0;
  std::uint64_t version = 0;
  std::uint64_t catalog_bytes = 0;
  std::uint64_t commit_index = 0;
  std::uint64_t readers = 0;
  std::uint64_t answered_requests = 0;
  std::uint64_t claims_in_progress = 0;
  std::uint64_t claims_finished = 0;
  std::uint64_t commands_waiting = 0;
  std::uint64_t zones_evacuated = 0;
  std::uint64_t leave_notices = 0;
  // Known to the leader only; 0 on the other replicas.
  std::uint64_t voters = 0;
  std::uint64_t active_voters = 0;
  std::uint64_t learners_caught_up = 0;
  std::uint64_t tolerable_voter_losses = 0;

  // Counters.
  std::uint64_t commands_completed = 0;
  std::uint64_t commands_not_run = 0;
  std::uint64_t commands_unknown = 0;
  std::uint64_t commands_forwarded = 0;
  std::uint64_t claims_answered = 0;
  std::uint64_t claims_expired = 0;
  std::uint64_t log_entries_proposed = 0;
  std::uint64_t log_commands_proposed = 0;
  std::uint64_t readers_admitted = 0;
  std::uint64_t readers_refused = 0;
  std::uint64_t deltas_made = 0;
  std::uint64_t snapshots_made = 0;
  std::uint64_t beats_sent = 0;
  std::uint64_t leaderships_lost = 0;
};

}  // namespace cometstand::store

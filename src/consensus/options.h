#pragma once

#include <chrono>
#include <cstddef>

#include "base/time.h"

namespace cometstand::consensus {

/// Settings of the consensus module. Each comment states the unit, default and range.
struct ConsensusOptions {
  /// Minimum time without a message from a leader before a follower starts an election. For this time after
  /// such a message a follower ignores vote requests, except those of a leadership transfer, and rejects
  /// pre-vote requests. Microseconds, default 300 ms, range 10 ms to 60 s; at least three times
  /// heartbeat_interval.
  Duration election_timeout_min = std::chrono::milliseconds(300);

  /// Maximum time without a message from a leader before a follower starts an election; each election timeout
  /// is drawn at random between the minimum and the maximum. A leader steps down if it has had no contact
  /// with a quorum for this time. Microseconds, default 600 ms, range above election_timeout_min to 120 s.
  Duration election_timeout_max = std::chrono::milliseconds(600);

  /// Interval between the heartbeats of a leader. Microseconds, default 50 ms, range 1 ms to a third of
  /// election_timeout_min.
  Duration heartbeat_interval = std::chrono::milliseconds(50);

  /// Maximum number of log entries in one append request. Default 1,024, range 1 to 65,536.
  std::size_t max_entries_per_append = 1024;

  /// Maximum payload size of one append request; a single larger entry is still sent. Bytes, default 1 MiB,
  /// range 1 KiB to 32 MiB.
  std::size_t max_bytes_per_append = std::size_t{1} << 20U;

  /// Maximum number of unacknowledged append requests with entries per follower. Default 8, range 1 to 256.
  std::size_t max_appends_in_flight = 8;

  /// Size at which a log segment file is closed and a new one is started. Bytes, default 4 MiB, range 4 KiB
  /// to 1 GiB.
  std::size_t segment_bytes = std::size_t{4} << 20U;

  /// Size of the log since the last snapshot from which snapshotDue() returns true. Bytes, default 16 MiB,
  /// range 4 KiB to 1 GiB.
  std::size_t snapshot_after_log_bytes = std::size_t{16} << 20U;

  /// Number of entries covered by the snapshot that are kept in memory, so that a follower slightly behind
  /// needs no snapshot. Default 1,024, range 0 to 1,000,000.
  std::size_t entries_kept_after_snapshot = 1024;

  /// Maximum size of the state passed to compact(), which must fit into one network frame. Bytes, default 63
  /// MiB, range 1 KiB to 63 MiB.
  std::size_t max_snapshot_bytes = std::size_t{63} << 20U;

  /// Time after which an unacknowledged snapshot is sent to a follower again. Microseconds, default 5 s,
  /// range 100 ms to 10 min.
  Duration snapshot_resend_interval = std::chrono::seconds(5);

  /// @throw Error(Invalid) if a value is out of its range; the message contains the name of the option.
  void check() const;
};

}  // namespace cometstand::consensus

#pragma once

#include <chrono>
#include <cstddef>

#include "base/time.h"

namespace cometstand::consensus {

/// Tunables of the consensus module: every value with unit, default and range.
struct ConsensusOptions {
  /// Shortest time without a leader's message before a follower begins an election. Microseconds, default
  /// 300 ms, range 10 ms to 60 s; at least three times heartbeat_interval. Also the time within which a
  /// leader must hear a quorum, and in which a follower that hears its leader refuses votes to others.
  Duration election_timeout_min = std::chrono::milliseconds(300);

  /// Longest such time; the value is drawn anew for each wait. Microseconds, default 600 ms, range above
  /// election_timeout_min to 120 s.
  Duration election_timeout_max = std::chrono::milliseconds(600);

  /// Time between a leader's heartbeats. Microseconds, default 50 ms, range 1 ms to a third of
  /// election_timeout_min.
  Duration heartbeat_interval = std::chrono::milliseconds(50);

  /// Most log entries in one append request. Default 1,024, range 1 to 65,536.
  std::size_t max_entries_per_append = 1024;

  /// Most payload bytes in one append request, except that one entry always goes. Bytes, default 1 MiB, range
  /// 1 KiB to 32 MiB.
  std::size_t max_bytes_per_append = std::size_t{1} << 20U;

  /// Most append requests that carry entries sent to one follower without an answer. Default 8, range 1 to
  /// 256.
  std::size_t max_appends_in_flight = 8;

  /// A log segment file is closed once it holds this many bytes. Bytes, default 4 MiB, range 4 KiB to 1 GiB.
  std::size_t segment_bytes = std::size_t{4} << 20U;

  /// snapshotDue() asks for a snapshot after this many log bytes since the last one. Bytes, default 16 MiB,
  /// range 4 KiB to 1 GiB.
  std::size_t snapshot_after_log_bytes = std::size_t{16} << 20U;

  /// Entries kept in memory before the snapshot, so that a follower slightly behind needs no snapshot.
  /// Default 1,024, range 0 to 1,000,000.
  std::size_t entries_kept_after_snapshot = 1024;

  /// Largest state that compact() takes; it must fit one frame. Bytes, default 63 MiB, range 1 KiB to 63 MiB.
  std::size_t max_snapshot_bytes = std::size_t{63} << 20U;

  /// Wait before a snapshot is sent again to a follower that has not answered. Microseconds, default 5 s,
  /// range 100 ms to 10 min.
  Duration snapshot_resend_interval = std::chrono::seconds(5);

  /// @throw Error(Invalid) if a value is out of its range; the message names the value.
  void check() const;
};

}  // namespace cometstand::consensus

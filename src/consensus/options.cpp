#include "consensus/options.h"

#include <fmt/format.h>

#include "base/error.h"

namespace cometstand::consensus {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::size_t kKibibyte = 1024;
constexpr std::size_t kMebibyte = 1024 * kKibibyte;
constexpr std::size_t kGibibyte = 1024 * kMebibyte;
/// Minimum ratio of election timeout to heartbeat interval; with 3, the loss of two consecutive heartbeats
/// does not cause an election.
constexpr int kMinHeartbeatsPerElectionTimeout = 3;

void checkRange(const char* name, std::size_t value, std::size_t low, std::size_t high) {
  if (value >= low && value <= high) return;
  throw Error(ErrorKind::Invalid, fmt::format("consensus option {} is out of range: {}", name, value),
              fmt::format("set a value from {} to {}", low, high));
}

void checkRange(const char* name, Duration value, Duration low, Duration high) {
  if (value >= low && value <= high) return;
  throw Error(ErrorKind::Invalid,
              fmt::format("consensus option {} is out of range: {} us", name, value.count()),
              fmt::format("set a value from {} to {} us", low.count(), high.count()));
}

}  // namespace

void ConsensusOptions::check() const {
  checkRange("election_timeout_min", election_timeout_min, milliseconds(10), seconds(60));
  checkRange("election_timeout_max", election_timeout_max, election_timeout_min + microseconds(1),
             seconds(120));
  checkRange("heartbeat_interval", heartbeat_interval, milliseconds(1),
             election_timeout_min / kMinHeartbeatsPerElectionTimeout);
  checkRange("max_entries_per_append", max_entries_per_append, 1, 64 * kKibibyte);
  checkRange("max_bytes_per_append", max_bytes_per_append, kKibibyte, 32 * kMebibyte);
  checkRange("max_appends_in_flight", max_appends_in_flight, 1, 256);
  checkRange("segment_bytes", segment_bytes, 4 * kKibibyte, kGibibyte);
  checkRange("snapshot_after_log_bytes", snapshot_after_log_bytes, 4 * kKibibyte, kGibibyte);
  checkRange("entries_kept_after_snapshot", entries_kept_after_snapshot, 0, 1'000'000);
  checkRange("max_snapshot_bytes", max_snapshot_bytes, kKibibyte, 63 * kMebibyte);
  checkRange("snapshot_resend_interval", snapshot_resend_interval, milliseconds(100), minutes(10));
}

}  // namespace cometstand::consensus

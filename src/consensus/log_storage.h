#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "consensus/output.h"
#include "runtime/process_core.h"

namespace cometstand::consensus {

/// State read from a data folder.
struct StoredState {
  /// Nothing if the replica was never bootstrapped and never joined a cluster.
  std::optional<wire::HardStateT> hard_state;
  SnapshotPointer snapshot;
  /// Log entries with contiguous indexes. The first index is at most one past the last index of the snapshot.
  std::vector<LogEntryPointer> entries;
};

/// Persistent storage of the consensus module. Translates each change of the state into file operations
/// (FileWrite), which the caller carries out in the order of their ids.
///
/// - `hard-state`: replica id, incarnation, term and vote. The file is replaced as a whole: it is small and
///   changes only with elections, and recovery does not have to search a log for the newest state.
/// - `snapshot`: the newest snapshot. The file is replaced as a whole.
/// - `log-<number>`: append-only segments of log entry records. A record whose index is not greater than that
///   of the last entry truncates the log from its index on, so that a truncation needs no write of its own.
///
/// An incomplete record at the end of the last segment was never acknowledged and is discarded. Any other
/// damage is an error, because ignoring it could lose acknowledged entries.
class LogStorage {
 public:
  explicit LogStorage(std::size_t segment_bytes) : segment_bytes_(segment_bytes) {}

  /// Reads the data folder. If the last segment ends with an incomplete record, the first file operation
  /// truncates the segment.
  /// @throw Error(Corrupt) if the files are damaged or inconsistent. The message names the file.
  StoredState recover(const runtime::FileReader& files);

  void saveHardState(const wire::HardStateT& state);
  void appendEntry(const wire::LogEntryT& entry);
  /// Replaces the snapshot, then removes the log segments that it covers.
  /// @param keep_log if false, all segments are removed because the log does not match the snapshot.
  void saveSnapshot(const wire::ConsensusSnapshotT& snapshot, bool keep_log);

  /// @return the id of the newest file operation, or 0 if there was none. Ids increase with each operation.
  runtime::WriteId lastWrite() const { return runtime::WriteId(next_write_ - 1); }
  /// @return the file operations added since the previous call.
  std::vector<runtime::FileWrite> takeWrites();
  /// @return the number of log bytes appended since the last snapshot.
  std::size_t bytesSinceSnapshot() const { return bytes_since_snapshot_; }

 private:
  struct Segment {
    std::uint64_t number = 0;
    std::size_t bytes = 0;
    /// Highest log index of all records in the segment.
    LogIndex last_index = 0;
  };

  void dropLog(StoredState& state);
  void readSegments(const runtime::FileReader& files, LogIndex snapshot_index, StoredState& state);
  void readSegment(const std::string& file, const std::vector<std::uint8_t>& bytes, bool is_last,
                   LogIndex snapshot_index, StoredState& state);
  void dropTornTail(const std::string& file, const std::vector<std::uint8_t>& bytes, std::size_t valid_bytes);
  runtime::FileWrite& addWrite(std::string file, runtime::FileWriteMode mode);
  void openSegment();
  void removeSegment(std::size_t position);

  std::size_t segment_bytes_;
  std::deque<Segment> segments_;
  std::uint64_t next_segment_ = 1;
  std::uint64_t next_write_ = 1;
  std::size_t bytes_since_snapshot_ = 0;
  std::vector<runtime::FileWrite> writes_;
};

}  // namespace cometstand::consensus

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

/// What a data folder holds.
struct StoredState {
  /// Nothing if the folder was never bootstrapped and never joined a cluster.
  std::optional<wire::HardStateT> hard_state;
  SnapshotPointer snapshot;
  /// Entries without gaps; the first one is at most one past the snapshot.
  std::vector<LogEntryPointer> entries;
};

/// The files of the consensus module and the order in which they change. Turns changes into FileWrites; the
/// caller carries them out in order.
///
/// - `hard-state`: replica id, incarnation, term and vote. Replaced as a whole: it is small and changes with
///   elections only, and a reader never has to search a log for the newest one.
/// - `snapshot`: the newest snapshot, replaced as a whole.
/// - `log-<number>`: segments of entry records, only appended to. A record whose index is not past the last
/// one
///   drops that index and what follows, so that a truncation needs no write of its own.
///
/// A record that is cut short at the very end was never acknowledged and is dropped. Any other damage is
/// refused: skipping it could lose acknowledged entries.
class LogStorage {
 public:
  explicit LogStorage(std::size_t segment_bytes) : segment_bytes_(segment_bytes) {}

  /// Reads the folder. An unfinished record at the end is dropped, by a first write.
  /// @throw Error(Corrupt) if the files are damaged or do not fit together; the message names the file.
  StoredState recover(const runtime::FileReader& files);

  void saveHardState(const wire::HardStateT& state);
  void appendEntry(const wire::LogEntryT& entry);
  /// Replaces the snapshot, then removes the segments that it covers.
  /// @param keep_log false removes all segments: the log does not fit the snapshot.
  void saveSnapshot(const wire::ConsensusSnapshotT& snapshot, bool keep_log);

  /// @return the id of the newest operation; all earlier ones have smaller ids. 0 if there was none.
  runtime::WriteId lastWrite() const { return runtime::WriteId(next_write_ - 1); }
  /// Moves out the operations asked for since the last call.
  std::vector<runtime::FileWrite> takeWrites();
  /// Log bytes on disk since the last snapshot.
  std::size_t bytesSinceSnapshot() const { return bytes_since_snapshot_; }

 private:
  struct Segment {
    std::uint64_t number = 0;
    std::size_t bytes = 0;
    /// Highest index of any record in it.
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

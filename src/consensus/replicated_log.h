#pragma once

#include <deque>
#include <optional>
#include <utility>
#include <vector>

#include "consensus/log_storage.h"
#include "consensus/membership.h"
#include "consensus/output.h"

namespace cometstand::consensus {

/// The log of one replica: entries in memory, the snapshot before them, the memberships they name, and how
/// much is synced. Every change goes to LogStorage too.
class ReplicatedLog {
 public:
  explicit ReplicatedLog(LogStorage& storage) : storage_(storage) {}

  void recover(const StoredState& state);

  /// @return 0 if the log is empty and there is no snapshot.
  LogIndex lastIndex() const { return base_index_ + entries_.size(); }
  Term lastTerm() const { return *termAt(lastIndex()); }
  /// First index whose entry is in memory, whether or not there is one.
  LogIndex firstIndex() const { return base_index_ + 1; }
  /// @return nothing if the index is past the end or before what is in memory.
  std::optional<Term> termAt(LogIndex index) const;
  const LogEntryPointer& at(LogIndex index) const;
  /// @return up to max_entries entries from the index on, ending once max_bytes are reached.
  std::vector<LogEntryPointer> slice(LogIndex from, std::size_t max_entries, std::size_t max_bytes) const;
  /// Where a leader should try next if `index` does not match (section 5.3 of the paper): the last index if
  /// the log is shorter, else the one before the first entry of the conflicting term.
  LogIndex conflictHint(LogIndex index) const;
  /// Section 5.4.1 of the paper.
  bool isUpToDate(LogIndex candidate_last_index, Term candidate_last_term) const;

  /// Appends an entry with the next index.
  void append(LogEntryPointer entry);
  /// Drops the entries from the index on. The storage learns of it by the next append.
  void truncateFrom(LogIndex index);

  const SnapshotPointer& snapshot() const { return snapshot_; }
  LogIndex snapshotIndex() const { return snapshot_ ? snapshot_->last_index : 0; }
  /// Stores a snapshot of this replica's own state; entries before it stay in memory for slow followers.
  void compact(SnapshotPointer snapshot, std::size_t entries_kept);
  /// Takes the leader's snapshot; entries after it stay only if they continue it (section 7 of the paper).
  void install(SnapshotPointer snapshot);

  /// The latest membership in the log, committed or not (section 4.1 of the dissertation).
  const wire::MembershipT& membership() const;
  /// Index of the entry that named it; 0 if none did.
  LogIndex membershipIndex() const;
  /// The membership in force at an index that is not before the snapshot.
  const wire::MembershipT& membershipAt(LogIndex index) const;

  /// Last index known to be on this replica's disk.
  LogIndex syncedIndex() const { return synced_index_; }
  /// Called when a file operation, and thus all earlier ones, is synced.
  void onWritten(runtime::WriteId write);

  /// @throw std::logic_error if an invariant does not hold.
  void checkInvariants() const;

 private:
  struct PendingSync {
    runtime::WriteId write;
    LogIndex last_index = 0;
  };
  struct MembershipRecord {
    LogIndex index = 0;
    wire::MembershipT membership;
  };

  void addToMemory(LogEntryPointer entry);
  void expectSync();

  LogStorage& storage_;
  SnapshotPointer snapshot_;
  /// Index and term of the entry before the first one in memory.
  LogIndex base_index_ = 0;
  Term base_term_ = 0;
  std::deque<LogEntryPointer> entries_;
  /// Rising by index; the first one is what was in force at the start of memory.
  std::vector<MembershipRecord> memberships_{MembershipRecord{}};
  LogIndex synced_index_ = 0;
  std::deque<PendingSync> pending_syncs_;
};

}  // namespace cometstand::consensus

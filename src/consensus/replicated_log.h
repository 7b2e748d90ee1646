#pragma once

#include <deque>
#include <optional>
#include <utility>
#include <vector>

#include "consensus/log_storage.h"
#include "consensus/membership.h"
#include "consensus/output.h"

namespace cometstand::consensus {

/// The replicated log of one replica: the entries in memory, the latest snapshot, the memberships from the
/// log and the last synced index. Changes are also written to LogStorage.
class ReplicatedLog {
 public:
  explicit ReplicatedLog(LogStorage& storage) : storage_(storage) {}

  void recover(const StoredState& state);

  /// @return the last log index, or 0 if the log is empty and there is no snapshot.
  LogIndex lastIndex() const { return base_index_ + entries_.size(); }
  Term lastTerm() const { return *termAt(lastIndex()); }
  /// @return the index of the first entry in memory, or the index that the next entry will have if there is
  /// none.
  LogIndex firstIndex() const { return base_index_ + 1; }
  /// @return the term at a log index, or nothing if the index is past the end of the log or its term is no
  /// longer in memory.
  std::optional<Term> termAt(LogIndex index) const;
  const LogEntryPointer& at(LogIndex index) const;
  /// @return at most max_entries entries from index `from` on whose data is at most max_bytes in total. The
  /// first entry is included even if it exceeds max_bytes.
  std::vector<LogEntryPointer> slice(LogIndex from, std::size_t max_entries, std::size_t max_bytes) const;
  /// @return the highest log index at which the leader's log may match if it does not match at `index`
  /// (section 5.3 of the Raft paper): the last index if the log is shorter, otherwise the index before the
  /// first entry of the conflicting term.
  LogIndex conflictHint(LogIndex index) const;
  /// @return true if the candidate's log is at least as up-to-date as this log (section 5.4.1 of the Raft
  /// paper).
  bool isUpToDate(LogIndex candidate_last_index, Term candidate_last_term) const;

  /// Appends an entry, whose index must be lastIndex() + 1.
  void append(LogEntryPointer entry);
  /// Removes the entries from the index on. Nothing is written: the record of the next appended entry
  /// truncates the log on disk.
  void truncateFrom(LogIndex index);

  const SnapshotPointer& snapshot() const { return snapshot_; }
  LogIndex snapshotIndex() const { return snapshot_ ? snapshot_->last_index : 0; }
  /// Stores a snapshot of this replica's own state machine. The last entries_kept entries that it covers stay
  /// in memory for slow followers.
  void compact(SnapshotPointer snapshot, std::size_t entries_kept);
  /// Installs a snapshot from the leader. Entries after it are kept only if the log matches the snapshot's
  /// last index and term (section 7 of the Raft paper).
  void install(SnapshotPointer snapshot);

  /// @return the latest membership in the log, whether or not it is committed (section 4.1 of the Raft
  /// dissertation).
  const wire::MembershipT& membership() const;
  /// @return the log index of membership(): that of its entry or of the snapshot that contains it, or 0 if
  /// there is neither.
  LogIndex membershipIndex() const;
  /// @return the membership in effect at an index that is not before the snapshot.
  const wire::MembershipT& membershipAt(LogIndex index) const;

  /// @return the last log index known to be synced to this replica's disk.
  LogIndex syncedIndex() const { return synced_index_; }
  /// Called when a file operation is synced, which implies that all earlier ones are synced, too.
  void onSynced(runtime::WriteId write);

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
  void addPendingSync();

  LogStorage& storage_;
  SnapshotPointer snapshot_;
  /// Index and term of the entry before the first one in memory.
  LogIndex base_index_ = 0;
  Term base_term_ = 0;
  std::deque<LogEntryPointer> entries_;
  /// In ascending order of index. The first one is the membership in effect at base_index_.
  std::vector<MembershipRecord> memberships_{MembershipRecord{}};
  LogIndex synced_index_ = 0;
  std::deque<PendingSync> pending_syncs_;
};

}  // namespace cometstand::consensus

#include "consensus/replicated_log.h"

#include <algorithm>

#include "consensus/invariant.h"

namespace cometstand::consensus {

void ReplicatedLog::recover(const StoredState& state) {
  snapshot_ = state.snapshot;
  if (snapshot_) {
    base_index_ = snapshot_->last_index;
    base_term_ = snapshot_->last_term;
    memberships_ = {{snapshot_->last_index, *snapshot_->membership}};
  }
  for (const auto& entry : state.entries) {
    if (entry->index > base_index_) addToMemory(entry);
  }
  synced_index_ = lastIndex();
}

std::optional<Term> ReplicatedLog::termAt(LogIndex index) const {
  if (index == base_index_) return base_term_;
  if (index < base_index_ || index > lastIndex()) return std::nullopt;
  return at(index)->term;
}

const LogEntryPointer& ReplicatedLog::at(LogIndex index) const { return entries_.at(index - firstIndex()); }

std::vector<LogEntryPointer> ReplicatedLog::slice(LogIndex from, std::size_t max_entries,
                                                  std::size_t max_bytes) const {
  std::vector<LogEntryPointer> result;
  std::size_t bytes = 0;
  for (LogIndex index = from; index <= lastIndex() && result.size() < max_entries; ++index) {
    const auto& entry = at(index);
    bytes += entry->data.size();
    if (!result.empty() && bytes > max_bytes) break;
    result.push_back(entry);
  }
  return result;
}

LogIndex ReplicatedLog::conflictHint(LogIndex index) const {
  if (index > lastIndex()) return lastIndex();
  const auto conflicting_term = termAt(index);
  LogIndex hint = index;
  while (hint > base_index_ && termAt(hint) == conflicting_term) --hint;
  return hint;
}

bool ReplicatedLog::isUpToDate(LogIndex candidate_last_index, Term candidate_last_term) const {
  if (candidate_last_term != lastTerm()) return candidate_last_term > lastTerm();
  return candidate_last_index >= lastIndex();
}

void ReplicatedLog::append(LogEntryPointer entry) {
  checkInvariant(entry->index == lastIndex() + 1, "appended entries have contiguous indexes");
  storage_.appendEntry(*entry);
  addToMemory(std::move(entry));
  addPendingSync();
}

void ReplicatedLog::truncateFrom(LogIndex index) {
  checkInvariant(index > snapshotIndex(), "entries covered by the snapshot are not truncated");
  entries_.resize(index - firstIndex());
  while (memberships_.size() > 1 && memberships_.back().index >= index) memberships_.pop_back();
  synced_index_ = std::min(synced_index_, index - 1);
  for (auto& pending : pending_syncs_) pending.last_index = std::min(pending.last_index, index - 1);
}

void ReplicatedLog::compact(SnapshotPointer snapshot, std::size_t entries_kept) {
  storage_.saveSnapshot(*snapshot, true);
  const LogIndex new_base = snapshot->last_index > entries_kept ? snapshot->last_index - entries_kept : 0;
  if (new_base > base_index_) {
    base_term_ = *termAt(new_base);
    entries_.erase(entries_.begin(), entries_.begin() + static_cast<std::ptrdiff_t>(new_base - base_index_));
    base_index_ = new_base;
  }
  while (memberships_.size() > 1 && memberships_[1].index <= base_index_) {
    memberships_.erase(memberships_.begin());
  }
  snapshot_ = std::move(snapshot);
  addPendingSync();
}

void ReplicatedLog::install(SnapshotPointer snapshot) {
  const bool matches_snapshot = termAt(snapshot->last_index) == snapshot->last_term;
  storage_.saveSnapshot(*snapshot, matches_snapshot);
  std::vector<LogEntryPointer> remaining_entries;
  if (matches_snapshot) remaining_entries = slice(snapshot->last_index + 1, entries_.size(), SIZE_MAX);
  snapshot_ = std::move(snapshot);
  base_index_ = snapshot_->last_index;
  base_term_ = snapshot_->last_term;
  entries_.clear();
  memberships_ = {{base_index_, *snapshot_->membership}};
  for (auto& entry : remaining_entries) addToMemory(std::move(entry));
  if (!matches_snapshot) {
    synced_index_ = 0;
    pending_syncs_.clear();
  }
  addPendingSync();
}

const wire::MembershipT& ReplicatedLog::membership() const { return memberships_.back().membership; }

LogIndex ReplicatedLog::membershipIndex() const { return memberships_.back().index; }

const wire::MembershipT& ReplicatedLog::membershipAt(LogIndex index) const {
  auto record = memberships_.rbegin();
  while (std::next(record) != memberships_.rend() && record->index > index) ++record;
  return record->membership;
}

void ReplicatedLog::onSynced(runtime::WriteId write) {
  while (!pending_syncs_.empty() && pending_syncs_.front().write <= write) {
    synced_index_ = std::max(synced_index_, pending_syncs_.front().last_index);
    pending_syncs_.pop_front();
  }
}

void ReplicatedLog::addToMemory(LogEntryPointer entry) {
  if (entry->kind == wire::EntryKind::Membership) {
    memberships_.push_back({entry->index, decodeMembership(entry->data)});
  }
  entries_.push_back(std::move(entry));
}

void ReplicatedLog::addPendingSync() {
  const auto write = storage_.lastWrite();
  if (!pending_syncs_.empty() && pending_syncs_.back().write == write) pending_syncs_.pop_back();
  pending_syncs_.push_back({write, lastIndex()});
}

void ReplicatedLog::checkInvariants() const {
  Term previous = base_term_;
  LogIndex index = base_index_;
  for (const auto& entry : entries_) {
    checkInvariant(entry->index == ++index, "log indexes are contiguous");
    checkInvariant(entry->term >= previous, "terms do not decrease along the log");
    previous = entry->term;
  }
  checkInvariant(synced_index_ <= lastIndex(), "the synced index does not exceed the last log index");
  checkInvariant(base_index_ <= snapshotIndex(), "entries removed from memory are covered by the snapshot");
  checkInvariant(snapshotIndex() <= lastIndex(), "the last log index is not before the snapshot");
}

}  // namespace cometstand::consensus

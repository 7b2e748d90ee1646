#include "consensus/log_storage.h"

#include <fmt/format.h>

#include <algorithm>
#include <memory>
#include <span>
#include <string_view>
#include <utility>

#include "base/error.h"
#include "consensus/events.h"
#include "consensus/record_codec.h"

namespace cometstand::consensus {
namespace {

constexpr const char* kHardStateFile = "hard-state";
constexpr const char* kSnapshotFile = "snapshot";
constexpr std::string_view kSegmentPrefix = "log-";
constexpr std::size_t kSegmentDigits = 20;

[[noreturn]] void throwCorrupt(const std::string& file, const std::string& problem) {
  throw Error(
      ErrorKind::Corrupt, fmt::format("file {} in the data folder: {}", file, problem),
      "keep the folder for inspection; start the replica with an empty folder under a new id and let it "
      "replace this one");
}

std::string segmentName(std::uint64_t number) { return fmt::format("{}{:020}", kSegmentPrefix, number); }

bool isSegmentName(const std::string& name) {
  if (!name.starts_with(kSegmentPrefix) || name.size() != kSegmentPrefix.size() + kSegmentDigits)
    return false;
  return std::all_of(name.begin() + kSegmentPrefix.size(), name.end(),
                     [](char c) { return c >= '0' && c <= '9'; });
}

/// Reads a file that consists of exactly one record.
/// @return the decoded object, or nothing if the file does not exist.
template <typename Decoder>
auto readSingleRecord(const runtime::FileReader& files, const char* file, Decoder decode)
    -> decltype(decode({})) {
  const auto bytes = files.read(file);
  if (!bytes) return std::nullopt;
  const auto payload = findPayload(*bytes);
  if (!payload || payload->size() + kRecordHeaderBytes != bytes->size()) {
    throwCorrupt(file, "checksum or length mismatch");
  }
  auto object = decode(*payload);
  if (!object) throwCorrupt(file, "the payload is not a valid table of the expected type");
  return object;
}

/// Appends an entry during recovery. An entry whose index is not greater than the last one truncates the log
/// from its index on.
/// @return false if entries are missing before it.
bool replayEntry(std::vector<LogEntryPointer>& entries, LogEntryPointer entry, LogIndex snapshot_index) {
  const LogIndex index = entry->index;
  const LogIndex first = entries.empty() ? 0 : entries.front()->index;
  const LogIndex last = entries.empty() ? 0 : entries.back()->index;
  if (entries.empty() || index < first || index > last + 1) {
    if (index == 0 || index > snapshot_index + 1) return false;
    entries.clear();
  } else {
    entries.resize(index - first);
  }
  entries.push_back(std::move(entry));
  return true;
}

/// @return true if the log entries are consistent with the snapshot (section 7 of the Raft paper).
bool continuesSnapshot(const wire::ConsensusSnapshotT& snapshot,
                       const std::vector<LogEntryPointer>& entries) {
  if (entries.empty()) return true;
  const LogIndex first = entries.front()->index;
  if (first == snapshot.last_index + 1) return true;
  const bool covers_snapshot_index = snapshot.last_index <= entries.back()->index;
  return covers_snapshot_index && entries[snapshot.last_index - first]->term == snapshot.last_term;
}

}  // namespace

StoredState LogStorage::recover(const runtime::FileReader& files) {
  StoredState state;
  state.hard_state = readSingleRecord(files, kHardStateFile, decodeHardState);
  if (auto snapshot = readSingleRecord(files, kSnapshotFile, decodeSnapshot)) {
    if (!snapshot->membership) throwCorrupt(kSnapshotFile, "the snapshot has no membership");
    state.snapshot = std::make_shared<const wire::ConsensusSnapshotT>(std::move(*snapshot));
  }
  readSegments(files, state.snapshot ? state.snapshot->last_index : 0, state);
  if (state.snapshot && !continuesSnapshot(*state.snapshot, state.entries)) dropLog(state);

  if (!state.hard_state) {
    // A bootstrap writes the first log entry before the hard state. If it was interrupted between the two,
    // the replica has neither voted nor acknowledged an entry, and the log can be removed.
    const bool is_unused = !state.snapshot && state.entries.size() <= 1;
    if (!is_unused) throwCorrupt(kHardStateFile, "the file is missing");
    dropLog(state);
    return state;
  }
  const bool log_term_is_newer =
      !state.entries.empty() && state.entries.back()->term > state.hard_state->term;
  if (log_term_is_newer) throwCorrupt(kHardStateFile, "its term is lower than that of the last log entry");
  return state;
}

void LogStorage::dropLog(StoredState& state) {
  state.entries.clear();
  // Also remove the segments, so that recovery does not read later entries after these unrelated ones. Remove
  // them from the last to the first: a crash in between then leaves entries without gaps.
  while (!segments_.empty()) removeSegment(segments_.size() - 1);
  bytes_since_snapshot_ = 0;
}

void LogStorage::readSegments(const runtime::FileReader& files, LogIndex snapshot_index, StoredState& state) {
  std::vector<std::string> names = files.list();
  std::erase_if(names, [](const std::string& name) { return !isSegmentName(name); });
  std::sort(names.begin(), names.end());
  for (const auto& name : names) {
    const std::uint64_t number = std::stoull(name.substr(kSegmentPrefix.size()));
    if (!segments_.empty() && number != next_segment_) {
      throwCorrupt(segmentName(next_segment_), "the file is missing");
    }
    next_segment_ = number + 1;
    segments_.push_back({number, 0, 0});
    const auto bytes = files.read(name);
    if (!bytes) throwCorrupt(name, "the file is missing");
    readSegment(name, *bytes, &name == &names.back(), snapshot_index, state);
  }
}

void LogStorage::readSegment(const std::string& file, const std::vector<std::uint8_t>& bytes, bool is_last,
                             LogIndex snapshot_index, StoredState& state) {
  const std::span<const std::uint8_t> all(bytes);
  Segment& segment = segments_.back();
  while (segment.bytes < all.size()) {
    const auto payload = findPayload(all.subspan(segment.bytes));
    if (!payload) {
      if (!is_last) throwCorrupt(file, fmt::format("invalid record at byte {}", segment.bytes));
      dropTornTail(file, bytes, segment.bytes);
      break;
    }
    auto entry = decodeLogEntry(*payload);
    if (!entry) throwCorrupt(file, fmt::format("the record at byte {} is not a log entry", segment.bytes));
    const LogIndex index = entry->index;
    auto pointer = std::make_shared<const wire::LogEntryT>(std::move(*entry));
    if (!replayEntry(state.entries, std::move(pointer), snapshot_index)) {
      throwCorrupt(file, fmt::format("log entries are missing before index {}", index));
    }
    segment.bytes += kRecordHeaderBytes + payload->size();
    segment.last_index = std::max(segment.last_index, index);
  }
  bytes_since_snapshot_ += segment.bytes;
}

void LogStorage::dropTornTail(const std::string& file, const std::vector<std::uint8_t>& bytes,
                              std::size_t valid_bytes) {
  const auto tail = std::span(bytes).subspan(valid_bytes);
  if (containsRecord(tail.subspan(1))) {
    throwCorrupt(file, fmt::format("invalid record at byte {} is followed by a valid record", valid_bytes));
  }
  logEvent(kTornTailDropped, {{"file", file}, {"kept_bytes", valid_bytes}, {"dropped_bytes", tail.size()}});
  auto& write = addWrite(file, runtime::FileWriteMode::Replace);
  write.bytes.assign(bytes.begin(), bytes.begin() + static_cast<std::ptrdiff_t>(valid_bytes));
}

void LogStorage::saveHardState(const wire::HardStateT& state) {
  addWrite(kHardStateFile, runtime::FileWriteMode::Replace).bytes = encodeRecord(state);
}

void LogStorage::appendEntry(const wire::LogEntryT& entry) {
  if (segments_.empty() || segments_.back().bytes >= segment_bytes_) openSegment();
  Segment& segment = segments_.back();
  const auto record = encodeRecord(entry);
  const auto file = segmentName(segment.number);
  const bool extends_last_write = !writes_.empty() && writes_.back().file == file &&
                                  writes_.back().mode == runtime::FileWriteMode::Append;
  auto& write = extends_last_write ? writes_.back() : addWrite(file, runtime::FileWriteMode::Append);
  write.bytes.insert(write.bytes.end(), record.begin(), record.end());
  segment.bytes += record.size();
  segment.last_index = std::max(segment.last_index, entry.index);
  bytes_since_snapshot_ += record.size();
}

void LogStorage::saveSnapshot(const wire::ConsensusSnapshotT& snapshot, bool keep_log) {
  addWrite(kSnapshotFile, runtime::FileWriteMode::Replace).bytes = encodeRecord(snapshot);
  // If the whole log is removed, remove the last segment first: a crash in between then leaves entries
  // without gaps.
  while (!segments_.empty() && !keep_log) removeSegment(segments_.size() - 1);
  // Otherwise remove segments only from the front, so that the segment numbers stay contiguous.
  while (!segments_.empty() && segments_.front().last_index <= snapshot.last_index) removeSegment(0);
  bytes_since_snapshot_ = 0;
}

std::vector<runtime::FileWrite> LogStorage::takeWrites() { return std::exchange(writes_, {}); }

runtime::FileWrite& LogStorage::addWrite(std::string file, runtime::FileWriteMode mode) {
  writes_.push_back({runtime::WriteId(next_write_++), std::move(file), mode, {}});
  return writes_.back();
}

void LogStorage::openSegment() { segments_.push_back({next_segment_++, 0, 0}); }

void LogStorage::removeSegment(std::size_t position) {
  const auto segment = segments_.begin() + static_cast<std::ptrdiff_t>(position);
  addWrite(segmentName(segment->number), runtime::FileWriteMode::Remove);
  segments_.erase(segment);
}

}  // namespace cometstand::consensus

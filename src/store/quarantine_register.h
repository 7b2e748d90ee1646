#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "mesh/content_digest.h"
#include "schema/store_generated.h"

namespace cometstand::store {

/// Result of applying a crash report, a clearance or a release.
enum class QuarantineResult : std::uint8_t { Changed, Unchanged };

using ContentRecordPointer = std::shared_ptr<const wire::ContentRecordT>;

/// Request contents suspected of crashing targets, because they were running there when the targets ended,
/// and quarantined contents, which no node forwards ("queries of death"). Part of the replicated state
/// machine: its state depends on the committed commands only and never on a clock.
///
/// A content is quarantined by its kCrashesToQuarantine-th crash with no completed run in between. Crashes of
/// one event count once, so that a single cause which ends many targets at the same time, such as a rack
/// failure, quarantines no content.
///
/// Memory is bounded: once the limit is reached, the oldest record of the caller with the most records is
/// evicted, so that a caller with many contents cannot evict those of other callers.
class QuarantineRegister {
 public:
  /// Number of crashes that quarantines a content. Operators tolerate three crashes, and three further runs
  /// until all nodes have the update. With two crashes, harmless requests are refused in tests/quarantine
  /// (see docs/design/quarantine.md for the figures).
  static constexpr std::uint32_t kCrashesToQuarantine = 3;
  /// Number of crashes from which on nodes are notified of a content. The first crash makes a suspect of
  /// every request that was running at the target, up to its number of slots, and nearly all of them are
  /// harmless.
  static constexpr std::uint32_t kCrashesToNotify = 2;

  QuarantineResult apply(const wire::CrashReportT& report);
  QuarantineResult apply(const wire::ContentClearanceT& clearance);
  QuarantineResult apply(const wire::ContentReleaseT& release);

  /// @return true if a report on the end of this instance has been applied.
  bool hasCountedInstance(const std::string& instance) const { return ended_instances_.contains(instance); }
  /// @return the record of the content; nullptr if it is neither suspected nor quarantined.
  ContentRecordPointer find(const mesh::ContentDigest& digest) const;
  const std::map<mesh::ContentDigest, ContentRecordPointer>& all() const { return records_; }
  /// Sequence number of the newest change.
  std::uint64_t lastNumber() const { return last_number_; }
  std::uint64_t lastEvent() const { return last_event_; }

  /// @return the update for nodes that have all changes up to that sequence number; 0 for nodes without any.
  wire::QuarantineUpdateT updateSince(std::uint64_t number) const;

  /// @return the state for a snapshot; nullptr if it is empty.
  std::shared_ptr<wire::QuarantineStateT> capture() const;
  void restore(const std::shared_ptr<wire::QuarantineStateT>& state);

 private:
  struct Released {
    mesh::ContentDigest digest;
    std::uint64_t number = 0;
  };

  void recordCrash(const wire::SuspectT& suspect, const wire::CrashReportT& report);
  void put(const mesh::ContentDigest& digest, wire::ContentRecordT record);
  void remove(const mesh::ContentDigest& digest);
  /// If there are too many records in the state, removes the oldest one of the caller that has the most.
  void evictOldest(wire::ContentState state);
  void recordEndedInstance(const std::string& instance);

  std::map<mesh::ContentDigest, ContentRecordPointer> records_;
  /// The newest releases, in ascending order of their sequence numbers.
  std::deque<Released> recent_releases_;
  /// Sequence number of the newest release that is no longer in recent_releases_.
  std::uint64_t last_forgotten_release_ = 0;
  std::deque<std::string> ended_instance_order_;
  std::set<std::string> ended_instances_;
  std::uint64_t last_number_ = 0;
  std::uint64_t last_event_ = 0;
};

}  // namespace cometstand::store

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

/// What became of a crash report, a clearance or a release.
enum class QuarantineResult : std::uint8_t { Changed, Unchanged };

using ContentRecordPointer = std::shared_ptr<const wire::ContentRecordT>;

/// The contents that were at targets when these ended, and those that no node passes on any more (a query of
/// death). Part of the replicated state: decides from the accepted commands alone, and never looks at a
/// clock.
///
/// A content is quarantined by its kCrashesToQuarantine-th crash without a run to its end in between. Crashes
/// of one event count once, so a cause that takes many targets at one moment convicts nobody.
///
/// Bounds: each caller's newest contents push out only that caller's own.
class QuarantineRegister {
 public:
  /// Crashes that quarantine a content. Operators allow three, and three further runs until all nodes know:
  /// by two, tests/quarantine refuses innocents (docs/design/quarantine.md has the figures).
  static constexpr std::uint32_t kCrashesToQuarantine = 3;
  /// From this crash on nodes are told of a content: the first one leaves up to a target's slots of suspects
  /// behind, nearly all of them innocent.
  static constexpr std::uint32_t kCrashesToTell = 2;

  QuarantineResult apply(const wire::CrashReportT& report);
  QuarantineResult apply(const wire::ContentClearanceT& clearance);
  QuarantineResult apply(const wire::ContentReleaseT& release);

  /// @return true if the end of this instance was counted.
  bool hasCounted(const std::string& instance) const { return ended_.contains(instance); }
  /// @return nullptr if nothing is held against the content.
  ContentRecordPointer find(const mesh::ContentDigest& digest) const;
  const std::map<mesh::ContentDigest, ContentRecordPointer>& all() const { return records_; }
  /// Number of the newest change.
  std::uint64_t lastNumber() const { return last_number_; }
  std::uint64_t lastEvent() const { return last_event_; }

  /// @return what nodes have to know that were told everything up to that number; 0 for nothing.
  wire::QuarantineUpdateT updateSince(std::uint64_t number) const;

  /// @return the state; nullptr if there is none.
  std::shared_ptr<wire::QuarantineStateT> capture() const;
  void restore(const std::shared_ptr<wire::QuarantineStateT>& state);

 private:
  struct Released {
    mesh::ContentDigest digest;
    std::uint64_t number = 0;
  };

  void noteCrash(const wire::SuspectT& suspect, const wire::CrashReportT& report);
  void put(const mesh::ContentDigest& digest, wire::ContentRecordT record);
  void remove(const mesh::ContentDigest& digest);
  /// Removes the oldest record of the caller with the most of that state, if there are too many.
  void makeRoom(wire::ContentState state);
  void noteEnded(const std::string& instance);

  std::map<mesh::ContentDigest, ContentRecordPointer> records_;
  /// Newest last.
  std::deque<Released> released_;
  /// Releases up to this number are not known any more.
  std::uint64_t forgotten_releases_ = 0;
  std::deque<std::string> ended_order_;
  std::set<std::string> ended_;
  std::uint64_t last_number_ = 0;
  std::uint64_t last_event_ = 0;
};

}  // namespace cometstand::store

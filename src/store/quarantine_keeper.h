#pragma once

#include <map>
#include <string>

#include "store/proposal_waits.h"
#include "store/store_context.h"

namespace cometstand::store {

/// The leader's part of the quarantine: takes nodes' reports on targets that ended and on contents that have
/// run to their end into the log, and ends what has lasted long enough. Whatever is lost is reported again by
/// the nodes.
class QuarantineKeeper {
 public:
  explicit QuarantineKeeper(StoreContext& context) : context_(context) {}

  /// @param link of the node; it is told if the report was taken before.
  void onReport(runtime::LinkId link, const wire::CrashReportT& report, TimePoint now);
  /// Answers once nothing is held against the content.
  /// @throw Error(NotFound) if nothing is now.
  void releaseByOperator(const Asker& asker, const std::string& content, TimePoint now);
  void onClearance(const wire::ContentClearanceT& clearance, TimePoint now);
  void onApplied(const wire::LogEntryT& entry, const std::vector<CommandResult>& results) {
    releases_.onApplied(entry, results);
  }
  /// To be called after entries were applied, or a snapshot: logs what changed.
  void logChanges();
  void onLeadershipLost();
  void onTimer(TimePoint now);
  TimePoint nextTimer() const;

 private:
  /// When this leader first saw a record as it is.
  struct Seen {
    std::uint64_t number = 0;
    TimePoint since;
  };

  std::uint64_t eventFor(const std::string& service, TimePoint now);
  /// @return true if this leader proposed that lately.
  bool isProposed(const std::string& what, TimePoint now);
  void scan(TimePoint now);
  void release(const wire::ContentRecordT& record, Duration age, TimePoint now);
  template <typename Command>
  void propose(Command command, TimePoint now);

  struct Event {
    std::uint64_t number = 0;
    TimePoint began;
  };

  StoreContext& context_;
  /// The newest event of each service.
  std::map<std::string, Event> events_;
  std::uint64_t last_event_ = 0;
  std::map<std::string, TimePoint> proposed_;
  /// Operators' releases.
  ProposalWaits releases_{context_};
  std::map<mesh::ContentDigest, Seen> seen_;
  TimePoint scan_at_;
  /// QuarantineRegister::lastNumber() up to which changes were logged.
  std::uint64_t logged_ = 0;
};

}  // namespace cometstand::store

#pragma once

#include <map>
#include <string>

#include "store/pending_proposals.h"
#include "store/store_context.h"

namespace cometstand::store {

/// Leader-side controller of the quarantine: proposes nodes' crash reports and clearances as log entries, and
/// proposes the release of records whose lease has expired. Lost reports and proposals are not retried here,
/// since the nodes report again.
class QuarantineController {
 public:
  explicit QuarantineController(StoreContext& context) : context_(context) {}

  /// @param link of the node; a report that was applied before is acknowledged on it.
  void onReport(runtime::LinkId link, const wire::CrashReportT& report, TimePoint now);
  /// Replies once the record of the content is removed.
  /// @throw Error(NotFound) if there is no record of the content.
  void releaseByOperator(const Requester& requester, const std::string& content, TimePoint now);
  void onClearance(const wire::ContentClearanceT& clearance, TimePoint now);
  void onApplied(const wire::LogEntryT& entry, const std::vector<CommandResult>& results) {
    operator_releases_.onApplied(entry, results);
  }
  /// Logs contents that were quarantined. To be called after log entries were applied or a snapshot restored.
  void logChanges();
  void onLeadershipLost();
  void onTimer(TimePoint now);
  TimePoint nextTimer() const;

 private:
  /// The number of a record and the time at which this leader first observed the record with that number.
  struct Observation {
    std::uint64_t number = 0;
    TimePoint since;
  };

  std::uint64_t crashEventFor(const std::string& service, TimePoint now);
  /// Records the proposal unless it is a duplicate.
  /// @return true if this leader made a proposal with the same key within kProposalTimeout.
  bool isDuplicateProposal(const std::string& key, TimePoint now);
  void scan(TimePoint now);
  void release(const wire::ContentRecordT& record, Duration age, TimePoint now);
  template <typename Command>
  void propose(Command command, TimePoint now);

  struct CrashEvent {
    std::uint64_t number = 0;
    TimePoint began_at;
  };

  StoreContext& context_;
  /// The newest crash event by service.
  std::map<std::string, CrashEvent> crash_events_;
  std::uint64_t last_crash_event_ = 0;
  /// Times of recent proposals, by the instance of a crash report or the content of a clearance or release.
  std::map<std::string, TimePoint> proposed_at_;
  /// Proposals of releases that operators requested.
  PendingProposals operator_releases_{context_};
  std::map<mesh::ContentDigest, Observation> observations_;
  TimePoint next_scan_at_;
  /// QuarantineRegister::lastNumber() at the last call of logChanges().
  std::uint64_t last_logged_number_ = 0;
};

}  // namespace cometstand::store

#pragma once

#include <cstdint>
#include <optional>

#include "store/pending_proposals.h"
#include "store/quota_ledger.h"

namespace cometstand::store {

/// Grants tenants' tokens while this replica is the leader. Other replicas respond with the leader's address.
///
/// A leadership is recorded in the replicated state before it grants its first token, and again once all
/// tokens of earlier leaderships have expired. A new leader can therefore grant some tokens immediately, even
/// after all replicas have restarted; without the record it would have to wait until every token that may
/// have been granted has expired. Nothing is recorded while no tenant has a limit.
class QuotaService {
 public:
  explicit QuotaService(StoreContext& context);

  /// Responds immediately.
  void onRequest(runtime::LinkId link, const wire::QuotaRequestT& request, TimePoint now);
  void onLeadership(const consensus::Leadership& leadership, TimePoint now);
  void onLeadershipLost() { proposals_.onLeadershipLost(); }
  void onQuorumRound(const consensus::QuorumRound& round);
  /// Must be called after each log entry is applied.
  void onApplied(const wire::LogEntryT& entry, const std::vector<CommandResult>& results) {
    proposals_.onApplied(entry, results);
  }
  /// Reads the limits again if the mesh configuration has changed.
  void refreshLimits(TimePoint now);
  /// Proposes the next leadership record if it is due.
  void step(TimePoint now);
  void onTimer(TimePoint now) { proposals_.onTimer(now); }
  TimePoint nextTimer() const;

  const QuotaLedger& ledger() const { return ledger_; }

 private:
  /// Leadership of this replica.
  struct LeadershipState {
    consensus::Term term = 0;
    TimePoint since;
    /// Number of live leaderships returned by the latest record; 0 before the first one.
    std::uint32_t live = 0;
  };

  /// @return the time at which the next record is due; TimePoint::max() if none is.
  TimePoint nextRecordTime() const;
  void proposeRecord(bool earlier_are_void, TimePoint now);
  void onRecorded(consensus::Term term, const CommandResult* result);

  StoreContext& context_;
  QuotaLedger ledger_;
  PendingProposals proposals_{context_};
  std::optional<LeadershipState> leadership_;
  /// Earliest time of the next attempt after a record could not be proposed.
  TimePoint retry_at_;
  bool has_limits_ = false;
  /// Revision of the mesh configuration from which the ledger has its limits.
  std::uint64_t revision_ = 0;
};

}  // namespace cometstand::store

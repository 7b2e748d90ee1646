#pragma once

#include <cstdint>
#include <optional>

#include "store/proposal_waits.h"
#include "store/quota_ledger.h"

namespace cometstand::store {

/// Hands out tenants' tokens while this replica leads; all others name the leader.
///
/// A leadership is recorded in the replicated state before it gives its first token, and once those of all
/// before it are void. So a leader gives some at once whatever it has seen itself, also after all replicas
/// have started again: without the record it could only wait until whatever may have been given is void.
/// Nothing is recorded while no tenant has a limit.
class QuotaService {
 public:
  explicit QuotaService(StoreContext& context);

  /// Answers at once.
  void onRequest(runtime::LinkId link, const wire::QuotaRequestT& request, TimePoint now);
  void onLeadership(const consensus::Leadership& leadership, TimePoint now);
  void onLeadershipLost() { proposals_.onLeadershipLost(); }
  void onQuorumRound(const consensus::QuorumRound& round);
  /// To be called after each entry was applied.
  void onApplied(const wire::LogEntryT& entry, const std::vector<CommandResult>& results) {
    proposals_.onApplied(entry, results);
  }
  /// The mesh configuration may have changed.
  void refreshLimits(TimePoint now);
  /// Has recorded what is due.
  void step(TimePoint now);
  void onTimer(TimePoint now) { proposals_.onTimer(now); }
  TimePoint nextTimer() const;

  const QuotaLedger& ledger() const { return ledger_; }

 private:
  /// This replica's leadership.
  struct Leading {
    consensus::Term term = 0;
    TimePoint since;
    /// As recorded; 0 before.
    std::uint32_t live = 0;
  };

  /// @return when the next record is due; TimePoint::max() for never.
  TimePoint recordDue() const;
  void record(bool earlier_are_void, TimePoint now);
  void onRecorded(consensus::Term term, const CommandResult* result);

  StoreContext& context_;
  QuotaLedger ledger_;
  ProposalWaits proposals_{context_};
  std::optional<Leading> leading_;
  /// After a record that could not be proposed.
  TimePoint retry_at_;
  bool has_limits_ = false;
  /// Whose limits the ledger has.
  std::uint64_t revision_ = 0;
};

}  // namespace cometstand::store

#pragma once

#include <cstdint>
#include <optional>

#include "store/quota_ledger.h"
#include "store/store_context.h"

namespace cometstand::store {

/// Which leaderships this replica has seen, so that a new leader knows whose tokens may still be in use.
class LeadershipHistory {
 public:
  void note(const consensus::Leadership& leadership, TimePoint now);

  /// @return true if the leadership before the term is known, is the only one between the term and those that
  /// ended at least `time` ago.
  bool knowsOnlyOneBefore(consensus::Term term, Duration time, TimePoint now) const;

 private:
  /// The newest leadership whose leader this replica heard, and since when.
  consensus::Term term_ = 0;
  TimePoint since_;
};

/// Hands out tenants' tokens while this replica leads; all others name the leader.
class QuotaService {
 public:
  explicit QuotaService(StoreContext& context);

  /// Answers at once.
  void onRequest(runtime::LinkId link, const wire::QuotaRequestT& request, TimePoint now);
  void onLeadership(const consensus::Leadership& leadership, TimePoint now);
  void onQuorumRound(const consensus::QuorumRound& round);
  /// The mesh configuration may have changed.
  void onApplied(TimePoint now);

  const QuotaLedger& ledger() const { return ledger_; }

 private:
  StoreContext& context_;
  QuotaLedger ledger_;
  LeadershipHistory history_;
  /// Whose limits the ledger has.
  std::uint64_t revision_ = 0;
};

}  // namespace cometstand::store

#pragma once

#include <map>
#include <string>
#include <utility>

#include "store/log_writer.h"
#include "store/store_context.h"

namespace cometstand::store {

/// Expires claims that one attempt has held in progress for StoreOptions::claim_time_limit: they end as
/// Unknown, so that a caller that retries its request gets a final response. Whether the request was executed
/// is not known, so the key is not freed; a holder that is still alive may report Completed later. Runs on
/// the leader only and uses the leader's clock: a new leader starts the time limit again.
class ClaimExpiry {
 public:
  ClaimExpiry(StoreContext& context, LogWriter& writer) : context_(context), writer_(writer) {}

  void onTimer(TimePoint now);
  TimePoint nextTimer() const { return context_.isLeader() ? next_scan_ : TimePoint::max(); }
  void onLeadershipLost() { observed_claims_.clear(); }

 private:
  struct ObservedClaim {
    std::string attempt;
    TimePoint since;
  };
  /// Tenant and idempotency key of a claim.
  using ClaimId = std::pair<std::string, std::string>;

  StoreContext& context_;
  LogWriter& writer_;
  /// Claims in progress at the last scan, each with the time of the first scan that found this attempt.
  std::map<ClaimId, ObservedClaim> observed_claims_;
  TimePoint next_scan_;
};

}  // namespace cometstand::store

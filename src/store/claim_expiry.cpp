#include "store/claim_expiry.h"

#include <utility>

namespace cometstand::store {
namespace {

/// Number of scans per claim_time_limit; bounds how long after the limit a claim expires.
constexpr int kScansPerTimeLimit = 8;

/// The store itself proposes the end of an expired claim, so there is no client to reply to.
constexpr Requester kNoRequester{};

}  // namespace

void ClaimExpiry::onTimer(TimePoint now) {
  if (!context_.isLeader() || now < next_scan_) return;
  next_scan_ = now + context_.options.claim_time_limit / kScansPerTimeLimit;
  std::map<ClaimId, ObservedClaim> observed;
  context_.state.claims().forEachInProgress([&](const std::string& tenant, const wire::ClaimRecordT& record) {
    const ClaimId id(tenant, record.key);
    const auto previous = observed_claims_.find(id);
    const bool is_same_attempt =
        previous != observed_claims_.end() && previous->second.attempt == record.attempt;
    const TimePoint since = is_same_attempt ? previous->second.since : now;
    observed[id] = {record.attempt, since};
    if (now - since < context_.options.claim_time_limit) return;
    wire::ClaimFinishT finish;
    finish.tenant = tenant;
    finish.key = record.key;
    finish.attempt = record.attempt;
    finish.end = wire::ClaimEnd::Unknown;
    wire::StoreCommandT command;
    command.body.Set(std::move(finish));
    writer_.add(kNoRequester, std::move(command), kClaimRecordBytes, now);
    ++context_.metrics.claims_expired;
  });
  observed_claims_ = std::move(observed);
}

}  // namespace cometstand::store

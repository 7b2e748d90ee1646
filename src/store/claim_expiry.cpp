#include "store/claim_expiry.h"

#include <utility>

namespace cometstand::store {
namespace {

/// Scans within one time limit.
constexpr int kScansPerLimit = 8;

/// Nobody waits for the answer to an end that the store itself wrote.
constexpr Asker kNobody{};

}  // namespace

void ClaimExpiry::onTimer(TimePoint now) {
  if (!context_.isLeader() || now < scan_at_) return;
  scan_at_ = now + context_.options.claim_time_limit / kScansPerLimit;
  std::map<ClaimName, Seen> seen;
  context_.state.claims().forEachInProgress([&](const std::string& tenant, const wire::ClaimRecordT& record) {
    const ClaimName name(tenant, record.key);
    const auto before = seen_.find(name);
    const bool is_same = before != seen_.end() && before->second.attempt == record.attempt;
    const TimePoint since = is_same ? before->second.since : now;
    seen[name] = {record.attempt, since};
    if (now - since < context_.options.claim_time_limit) return;
    wire::ClaimFinishT finish;
    finish.tenant = tenant;
    finish.key = record.key;
    finish.attempt = record.attempt;
    finish.end = wire::ClaimEnd::Unknown;
    wire::StoreCommandT command;
    command.body.Set(std::move(finish));
    writer_.add(kNobody, std::move(command), kClaimRecordBytes, now);
    ++context_.metrics.claims_expired;
  });
  seen_ = std::move(seen);
}

}  // namespace cometstand::store

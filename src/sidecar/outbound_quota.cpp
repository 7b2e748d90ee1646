#include <algorithm>
#include <vector>

#include "base/event_log.h"
#include "sidecar/events.h"
#include "sidecar/outbound_calls.h"

/// On whose behalf callers' requests come, and how they keep to their tenants' limits.
namespace cometstand::sidecar {
namespace {

/// Callers that are refused together do not come back together: the time is drawn up to so many times as
/// long.
constexpr int kRetrySpread = 2;

}  // namespace

mesh::TenantPointer OutboundCalls::tenantOf(const Call& call) const {
  return call.key ? table_->tenants().findByKey(*call.key) : nullptr;
}

void OutboundCalls::refuseKey(CallId id, const Call& call, const wire::MeshRouteT& route, TimePoint now) {
  logEvent(kCallKeyUnknown, {{"request", call.request.request_id},
                             {"route", route.name},
                             {"has_key", call.key.has_value()},
                             {"revision", table_->revision()}});
  refuse(id, CallOutcome::UnknownKey, now);
}

void OutboundCalls::sendWithinQuota(CallId id, TimePoint now) {
  auto& call = calls_.at(id);
  const auto& tenant = call.request->tenant;
  parts_.quota.noteRequest(tenant, now);
  const auto decision = parts_.quota.take(tenant, now);
  if (decision.verdict != TenantQuota::Verdict::Wait) {
    carryOut(id, decision, now);
    return;
  }
  // It has no other use for the time that it may wait for a slot.
  const TimePoint deadline = now + std::min(patienceOf(call, now), TenantQuota::kMostWait);
  call.quota_deadline = deadline;
  quota_waits_.emplace(deadline, id);
}

void OutboundCalls::carryOut(CallId id, const TenantQuota::Decision& decision, TimePoint now) {
  auto& call = calls_.at(id);
  if (decision.verdict == TenantQuota::Verdict::Granted) {
    call.token = decision.token;
    sendNext(id, now);
    return;
  }
  CallAnswer answer;
  answer.outcome = CallOutcome::OverQuota;
  answer.retry_after = parts_.random.uniform(decision.retry_after, kRetrySpread * decision.retry_after);
  finish(id, std::move(answer), now);
}

void OutboundCalls::endQuotaWait(CallId id, CallState& call) {
  if (!call.quota_deadline) return;
  quota_waits_.erase({*call.quota_deadline, id});
  call.quota_deadline.reset();
}

void OutboundCalls::onQuota(TimePoint now) {
  std::vector<CallId> waiting;
  for (const auto& [deadline, id] : quota_waits_) waiting.push_back(id);
  for (const CallId id : waiting) {
    const auto found = calls_.find(id);
    if (found == calls_.end() || !found->second.quota_deadline) continue;
    const auto decision = parts_.quota.takeAfterWait(found->second.request->tenant, now);
    if (decision.verdict == TenantQuota::Verdict::Wait) continue;
    endQuotaWait(id, found->second);
    carryOut(id, decision, now);
  }
  parts_.quota.askForWaiting(now);
}

void OutboundCalls::giveUpQuotaWaits(TimePoint now) {
  while (!quota_waits_.empty() && quota_waits_.begin()->first <= now) {
    const CallId id = quota_waits_.begin()->second;
    auto& call = calls_.at(id);
    endQuotaWait(id, call);
    parts_.quota.stopWaiting(call.request->tenant);
    carryOut(id, {TenantQuota::Verdict::Denied, {}, TenantQuota::kLeaderlessRetry}, now);
  }
}

void OutboundCalls::settleToken(const CallState& call, bool ran, TimePoint now) {
  if (call.token) parts_.quota.settle(call.request->tenant, *call.token, ran, now);
}

}  // namespace cometstand::sidecar

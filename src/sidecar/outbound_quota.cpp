#include <algorithm>
#include <vector>

#include "base/event_log.h"
#include "sidecar/events.h"
#include "sidecar/outbound_calls.h"

/// Tenants of callers' requests, and the enforcement of the tenants' request limits.
namespace cometstand::sidecar {
namespace {

/// Upper end of the random retry delay as a multiple of its lower end, so that callers that are refused
/// together do not retry together.
constexpr int kMaxRetryAfterFactor = 2;

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
    applyQuotaDecision(id, decision, now);
    return;
  }
  // Waiting for a token uses up the time that the request may spend in an endpoint's queue.
  const TimePoint deadline = now + std::min(remainingQueueTime(call, now), TenantQuota::kMaxTokenWait);
  call.quota_deadline = deadline;
  quota_waits_.emplace(deadline, id);
}

void OutboundCalls::applyQuotaDecision(CallId id, const TenantQuota::Decision& decision, TimePoint now) {
  auto& call = calls_.at(id);
  if (decision.verdict == TenantQuota::Verdict::Granted) {
    call.token = decision.token;
    sendNext(id, now);
    return;
  }
  CallAnswer answer;
  answer.outcome = CallOutcome::OverQuota;
  answer.retry_after =
      parts_.random.uniform(decision.retry_after, kMaxRetryAfterFactor * decision.retry_after);
  finish(id, std::move(answer), now);
}

void OutboundCalls::removeQuotaWait(CallId id, CallState& call) {
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
    removeQuotaWait(id, found->second);
    applyQuotaDecision(id, decision, now);
  }
  parts_.quota.requestForWaiting(now);
}

void OutboundCalls::expireQuotaWaits(TimePoint now) {
  while (!quota_waits_.empty() && quota_waits_.begin()->first <= now) {
    const CallId id = quota_waits_.begin()->second;
    auto& call = calls_.at(id);
    removeQuotaWait(id, call);
    parts_.quota.stopWaiting(call.request->tenant);
    applyQuotaDecision(id, {TenantQuota::Verdict::Denied, {}, TenantQuota::kLeaderlessRetryAfter}, now);
  }
}

void OutboundCalls::releaseToken(const CallState& call, bool ran, TimePoint now) {
  if (call.token) parts_.quota.release(call.request->tenant, *call.token, ran, now);
}

}  // namespace cometstand::sidecar

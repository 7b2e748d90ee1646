#include <algorithm>
#include <utility>
#include <vector>

#include "base/event_log.h"
#include "settings/units.h"
#include "sidecar/events.h"
#include "sidecar/outbound_calls.h"

/// Completion of callers' requests: answers, refusals, lost endpoints, deadlines and disconnected callers.
namespace cometstand::sidecar {
namespace {

/// Retry delay for callers if no endpoint has given one, and the shortest delay that this sidecar gives.
constexpr Duration kDefaultRetryAfter = std::chrono::milliseconds(80);
/// Time from the usual end of a planned stop until the successor process is up.
constexpr Duration kRestartTime = std::chrono::seconds(1);
/// Share of their remaining time that callers wait before a retry at most; limits the spread of retry delays.
constexpr double kMaxWaitShare = 1.0 / 3;
/// How long an endpoint is avoided after its link was lost.
constexpr Duration kLostPeerAvoidance = std::chrono::milliseconds(1'500);

}  // namespace

using runtime::Address;

const char* OutboundCalls::nameOf(AttemptFailure failure) {
  switch (failure) {
    case AttemptFailure::None:
      return "none";
    case AttemptFailure::ReportedByEndpoint:
      return "endpoint_said_so";
    case AttemptFailure::LinkLost:
      return "link_lost";
    case AttemptFailure::ProtocolViolation:
      return "unsound";
    case AttemptFailure::NoMemory:
      return "no_memory";
    case AttemptFailure::DeadlineExceeded:
      return "out_of_time";
  }
  return "unknown";
}

void OutboundCalls::refuse(CallId id, CallOutcome outcome, TimePoint now) {
  CallAnswer answer;
  answer.outcome = outcome;
  if (outcome == CallOutcome::NotRun)
    answer.retry_after = stop_began_ ? retryAfterStop(now) : kDefaultRetryAfter;
  metrics_.noteEnd(outcome, Duration::zero());
  parts_.callers.answer(id, std::move(answer));
}

/// Callers on this host have no other sidecar, so they should retry once the successor is up. Most planned
/// stops last little longer than their minimum.
Duration OutboundCalls::retryAfterStop(TimePoint now) const {
  const TimePoint usual_end = *stop_began_ + parts_.options.stop_minimum;
  return std::max(Duration::zero(), usual_end - now) + kRestartTime;
}

void OutboundCalls::cancelAttempt(CallState& call, TimePoint now) {
  if (!call.endpoint) return;
  answers_.drop(call.attempt_number, now);
  calls_by_attempt_.erase(call.attempt_number);
  auto* endpoint = parts_.endpoints.find(*call.endpoint);
  if (endpoint != nullptr && endpoint->outstanding > 0) --endpoint->outstanding;
  if (*call.endpoint == parts_.options.advertise) {
    parts_.gate.cancel({runtime::LinkId{}, call.attempt_number}, now);
  } else if (const auto link = parts_.peers.linkTo(*call.endpoint)) {
    parts_.actions.send(*link, wire::ForwardCancelT(), call.attempt_number);
  }
  call.endpoint.reset();
}

void OutboundCalls::cancel(CallId id, TimePoint now) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  ++metrics_.callers_gone;
  // An attempt in flight may have run.
  releaseToken(found->second, found->second.endpoint || found->second.may_have_run, now);
  cancelAttempt(found->second, now);
  removeCall(id);
}

/// The only place that removes a request. Each index must lose it here: an entry that remained would refer to
/// a request that no longer exists.
void OutboundCalls::removeCall(CallId id) {
  const auto found = calls_.find(id);
  auto& call = found->second;
  if (call.quota_deadline) {
    parts_.quota.stopWaiting(call.request->tenant);
    removeQuotaWait(id, call);
  }
  deadlines_.erase({call.deadline, id});
  calls_by_attempt_.erase(call.attempt_number);
  calls_.erase(found);
}

/// Logs the single event that records a request's outcome and its cause.
void OutboundCalls::logEnd(const CallState& call, const CallAnswer& answer, TimePoint now) const {
  if (answer.outcome == CallOutcome::Quarantined) {
    const auto digests = mesh::digestsOf(*call.request);
    logEvent(kCallQuarantined, {{"request", call.request->request_id},
                                {"route", call.route->name},
                                {"service", call.request->service},
                                {"caller", call.request->caller_service},
                                {"content", mesh::formatDigest(digests.exact)},
                                {"path", digests.path ? mesh::formatDigest(*digests.path) : ""},
                                {"took_ms", ceilMilliseconds(now - call.started_at)}});
    return;
  }
  const bool is_answered = answer.outcome == CallOutcome::Answered;
  logEvent(is_answered ? kCallAnswered : kCallEnded,
           {{"request", call.request->request_id},
            {"outcome", sidecar::nameOf(answer.outcome)},
            {"status", answer.reply.status},
            {"route", call.route->name},
            {"service", call.request->service},
            {"tenant", call.request->tenant},
            {"endpoints", formatTriedEndpoints(call)},
            {"revision", table_->revision()},
            {"priority", call.request->priority},
            {"objective_ms", call.request->objective_ms},
            {"sendings", call.attempts},
            {"failure", nameOf(call.failure)},
            {"passed_bytes", call.streamed_bytes},
            {"refusals", call.refusals},
            {"took_ms", ceilMilliseconds(now - call.started_at)},
            {"left_ms", ceilMilliseconds(call.deadline - now)},
            {"retry_after_ms", ceilMilliseconds(answer.retry_after)}});
}

std::string OutboundCalls::formatTriedEndpoints(const CallState& call) {
  std::string text;
  for (const auto& address : call.tried_endpoints)
    text += (text.empty() ? "" : " ") + settings::formatAddress(address);
  return text;
}

void OutboundCalls::finish(CallId id, CallAnswer answer, TimePoint now) {
  const auto found = calls_.find(id);
  const auto& call = found->second;
  logEnd(call, answer, now);
  metrics_.noteEnd(answer.outcome, now - call.started_at);
  const bool has_run = answer.outcome != CallOutcome::NotRun && answer.outcome != CallOutcome::Quarantined;
  releaseToken(call, has_run, now);
  // A request over its tenant's quota is no sign of an overloaded service.
  if (answer.outcome != CallOutcome::OverQuota)
    refusals_.note(call.request->service, answer.outcome == CallOutcome::NotRun);
  const bool is_streamed = call.is_streamed;
  removeCall(id);
  if (!is_streamed) {
    parts_.callers.answer(id, std::move(answer));
  } else if (answer.outcome == CallOutcome::Answered) {
    parts_.callers.continueAnswer(id, answer.reply.body, wire::BodyEnd::Whole);
  } else {
    parts_.callers.continueAnswer(id, {}, wire::BodyEnd::Broken);
  }
}

/// @return a random retry delay from a range that grows with the share of refused requests: callers that are
/// refused together do not retry together, and wait longer the more of them are refused.
Duration OutboundCalls::drawRetryAfter(const CallState& call, TimePoint now) {
  const auto max_wait = std::chrono::duration_cast<Duration>((call.caller_deadline - now) * kMaxWaitShare);
  // While all targets warm up or have a rate limit, a retry would take the capacity of other requests.
  const Duration until_capacity =
      std::min(parts_.endpoints.timeUntilCapacity(criteriaOf(call), now), max_wait);
  const Duration suggested = call.retry_after == Duration::zero() ? kDefaultRetryAfter : call.retry_after;
  const Duration min_retry_after = std::max(suggested, until_capacity);
  const auto spread = std::chrono::duration_cast<Duration>(max_wait * refusals_.of(call.request->service));
  return parts_.random.uniform(min_retry_after, min_retry_after + std::max(min_retry_after, spread));
}

void OutboundCalls::finishNotRun(CallId id, TimePoint now) {
  CallAnswer answer;
  answer.outcome = CallOutcome::NotRun;
  answer.retry_after = drawRetryAfter(calls_.at(id), now);
  finish(id, std::move(answer), now);
}

void OutboundCalls::finishQuarantined(CallId id, TimePoint now) {
  CallAnswer answer;
  if (!calls_.at(id).may_have_run) answer.outcome = CallOutcome::Quarantined;
  finish(id, std::move(answer), now);
}

/// @return the reply that stands in for an endpoint's own if it did not get the whole body: the request has
/// not run.
wire::ForwardReplyT OutboundCalls::incompleteUploadReply() {
  wire::ForwardReplyT reply;
  reply.outcome = wire::ForwardOutcome::NotRun;
  reply.reason = wire::NotRunReason::TargetDown;
  reply.retry_after_ms = static_cast<std::uint32_t>(ceilMilliseconds(kDefaultRetryAfter));
  return reply;
}

void OutboundCalls::onPeerLost(const Address& address, TimePoint now) {
  std::vector<CallId> lost;
  for (const auto& [id, call] : calls_) {
    if (call.endpoint == address) lost.push_back(id);
  }
  auto* endpoint = parts_.endpoints.find(address);
  if (endpoint != nullptr) {
    endpoint->outstanding = 0;
    endpoint->avoid_until = now + kLostPeerAvoidance;
  }
  for (const CallId id : lost) {
    const auto found = calls_.find(id);
    if (found == calls_.end()) continue;
    answers_.drop(found->second.attempt_number, now);
    calls_by_attempt_.erase(found->second.attempt_number);
    found->second.endpoint.reset();
    found->second.failure = AttemptFailure::LinkLost;
    if (isFullySent(found->second) || found->second.is_streamed) {
      onFailed(id, found->second, now);
    } else {
      onRefused(id, found->second, incompleteUploadReply(), now);
    }
  }
}

TimePoint OutboundCalls::nextTimer() const {
  TimePoint next = TimePoint::max();
  if (!deadlines_.empty()) next = deadlines_.begin()->first;
  if (!quota_waits_.empty()) next = std::min(next, quota_waits_.begin()->first);
  return next;
}

void OutboundCalls::onTimer(TimePoint now) {
  expireQuotaWaits(now);
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    const CallId id = deadlines_.begin()->second;
    auto& call = calls_.at(id);
    call.failure = AttemptFailure::DeadlineExceeded;
    const bool may_have_run = call.may_have_run || (call.endpoint.has_value() && isFullySent(call));
    cancelAttempt(call, now);
    if (may_have_run) {
      finish(id, {CallOutcome::TimedOut, {}, Duration::zero()}, now);
    } else {
      finishNotRun(id, now);
    }
  }
}

}  // namespace cometstand::sidecar

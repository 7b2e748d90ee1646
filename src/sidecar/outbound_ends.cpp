#include <algorithm>
#include <utility>
#include <vector>

#include "base/event_log.h"
#include "settings/units.h"
#include "sidecar/events.h"
#include "sidecar/outbound_calls.h"

/// How callers' requests end: answers, refusals, lost endpoints, deadlines, callers who leave.
namespace cometstand::sidecar {
namespace {

/// When to come back if nothing better is known, and the least wait that is named.
constexpr Duration kDefaultRetryAfter = std::chrono::milliseconds(80);
/// From the usual end of a planned stop until the process that follows is up.
constexpr Duration kStartTime = std::chrono::seconds(1);
/// Callers wait for as much of the time that they have left, but no longer, before they come back.
constexpr double kHonouredShare = 1.0 / 3;
/// An endpoint whose link ended while it had requests is avoided for a while.
constexpr Duration kLostPeerAvoidance = std::chrono::milliseconds(1'500);

}  // namespace

using runtime::Address;

const char* OutboundCalls::nameOf(SendingFailure failure) {
  switch (failure) {
    case SendingFailure::None:
      return "none";
    case SendingFailure::EndpointSaidSo:
      return "endpoint_said_so";
    case SendingFailure::LinkLost:
      return "link_lost";
    case SendingFailure::Unsound:
      return "unsound";
    case SendingFailure::OutOfTime:
      return "out_of_time";
  }
  return "unknown";
}

void OutboundCalls::refuse(CallId id, CallOutcome outcome, TimePoint now) {
  CallAnswer answer;
  answer.outcome = outcome;
  if (outcome == CallOutcome::NotRun) answer.retry_after = stop_began_ ? afterStop(now) : kDefaultRetryAfter;
  metrics_.noteEnd(outcome, Duration::zero());
  parts_.callers.answer(id, std::move(answer));
}

/// Callers on this machine have no other sidecar, and most stops last little longer than their minimum.
Duration OutboundCalls::afterStop(TimePoint now) const {
  const TimePoint usual_end = *stop_began_ + parts_.options.stop_minimum;
  return std::max(Duration::zero(), usual_end - now) + kStartTime;
}

void OutboundCalls::recall(CallState& call, TimePoint now) {
  if (!call.at) return;
  answers_.drop(call.sent_as, now);
  sent_.erase(call.sent_as);
  auto* endpoint = parts_.endpoints.find(*call.at);
  if (endpoint != nullptr && endpoint->outstanding > 0) --endpoint->outstanding;
  if (*call.at == parts_.options.advertise) {
    parts_.gate.cancel({runtime::LinkId{}, call.sent_as}, now);
  } else if (const auto link = parts_.peers.linkTo(*call.at)) {
    parts_.actions.send(*link, wire::ForwardCancelT(), call.sent_as);
  }
  call.at.reset();
}

void OutboundCalls::cancel(CallId id, TimePoint now) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  ++metrics_.callers_gone;
  if (found->second.quota_deadline) parts_.quota.stopWaiting(found->second.request->tenant);
  endQuotaWait(id, found->second);
  // What was sent may have run.
  settleToken(found->second, found->second.at || found->second.may_have_run, now);
  recall(found->second, now);
  deadlines_.erase({found->second.deadline, id});
  calls_.erase(found);
}

/// The one line for a caller's request: what became of it, and by what.
void OutboundCalls::logEnd(const CallState& call, const CallAnswer& answer, TimePoint now) const {
  if (answer.outcome == CallOutcome::Quarantined) {
    const auto digests = mesh::digestsOf(*call.request);
    logEvent(kCallQuarantined, {{"request", call.request->request_id},
                                {"route", call.route->name},
                                {"service", call.request->service},
                                {"caller", call.request->caller_service},
                                {"content", mesh::formatDigest(digests.exact)},
                                {"path", digests.path ? mesh::formatDigest(*digests.path) : ""},
                                {"took_ms", ceilMilliseconds(now - call.began)}});
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
            {"endpoints", describeTried(call)},
            {"revision", table_->revision()},
            {"priority", call.request->priority},
            {"objective_ms", call.request->objective_ms},
            {"sendings", call.sendings},
            {"failure", nameOf(call.failure)},
            {"passed_bytes", call.passed_bytes},
            {"refusals", call.refusals},
            {"took_ms", ceilMilliseconds(now - call.began)},
            {"left_ms", ceilMilliseconds(call.deadline - now)},
            {"retry_after_ms", ceilMilliseconds(answer.retry_after)}});
}

std::string OutboundCalls::describeTried(const CallState& call) {
  std::string text;
  for (const auto& address : call.tried) text += (text.empty() ? "" : " ") + settings::formatAddress(address);
  return text;
}

void OutboundCalls::finish(CallId id, CallAnswer answer, TimePoint now) {
  const auto found = calls_.find(id);
  const auto& call = found->second;
  logEnd(call, answer, now);
  metrics_.noteEnd(answer.outcome, now - call.began);
  const bool has_run = answer.outcome != CallOutcome::NotRun && answer.outcome != CallOutcome::Quarantined;
  settleToken(call, has_run, now);
  // A limit says nothing of the service.
  if (answer.outcome != CallOutcome::OverQuota)
    refusals_.note(call.request->service, answer.outcome == CallOutcome::NotRun);
  deadlines_.erase({call.deadline, id});
  const bool is_passed_on = call.is_passed_on;
  calls_.erase(found);
  if (!is_passed_on) {
    parts_.callers.answer(id, std::move(answer));
  } else if (answer.outcome == CallOutcome::Answered) {
    parts_.callers.continueAnswer(id, answer.reply.body, wire::BodyEnd::Whole);
  } else {
    parts_.callers.continueAnswer(id, {}, wire::BodyEnd::Broken);
  }
}

/// @return a time drawn from a span that grows with the share of requests that are refused: callers who are
/// refused together do not come back together, and the more there are, the longer each is put off.
Duration OutboundCalls::comeBackAfter(const CallState& call, TimePoint now) {
  const auto honoured = std::chrono::duration_cast<Duration>((call.caller_leaves - now) * kHonouredShare);
  // While all targets are cold, who comes back takes the room of others.
  const Duration cold = std::min(parts_.endpoints.coldTime(wantOf(call), now), honoured);
  const Duration wish = call.retry_after == Duration::zero() ? kDefaultRetryAfter : call.retry_after;
  const Duration least = std::max(wish, cold);
  const auto spread = std::chrono::duration_cast<Duration>(honoured * refusals_.of(call.request->service));
  return parts_.random.uniform(least, least + std::max(least, spread));
}

void OutboundCalls::finishNotRun(CallId id, TimePoint now) {
  CallAnswer answer;
  answer.outcome = CallOutcome::NotRun;
  answer.retry_after = comeBackAfter(calls_.at(id), now);
  finish(id, std::move(answer), now);
}

void OutboundCalls::finishQuarantined(CallId id, TimePoint now) {
  CallAnswer answer;
  if (!calls_.at(id).may_have_run) answer.outcome = CallOutcome::Quarantined;
  finish(id, std::move(answer), now);
}

/// @return what is known of a request whose endpoint was lost before it had the whole body.
wire::ForwardReplyT OutboundCalls::lostBeforeWhole() {
  wire::ForwardReplyT reply;
  reply.outcome = wire::ForwardOutcome::NotRun;
  reply.reason = wire::NotRunReason::TargetDown;
  reply.retry_after_ms = static_cast<std::uint32_t>(ceilMilliseconds(kDefaultRetryAfter));
  return reply;
}

void OutboundCalls::onPeerLost(const Address& address, TimePoint now) {
  std::vector<CallId> lost;
  for (const auto& [id, call] : calls_) {
    if (call.at == address) lost.push_back(id);
  }
  auto* endpoint = parts_.endpoints.find(address);
  if (endpoint != nullptr) {
    endpoint->outstanding = 0;
    endpoint->avoid_until = now + kLostPeerAvoidance;
  }
  for (const CallId id : lost) {
    const auto found = calls_.find(id);
    if (found == calls_.end()) continue;
    answers_.drop(found->second.sent_as, now);
    sent_.erase(found->second.sent_as);
    found->second.at.reset();
    found->second.failure = SendingFailure::LinkLost;
    if (isWhollySent(found->second) || found->second.is_passed_on) {
      onFailed(id, found->second, now);
    } else {
      onRefused(id, found->second, lostBeforeWhole(), now);
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
  giveUpQuotaWaits(now);
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    const CallId id = deadlines_.begin()->second;
    auto& call = calls_.at(id);
    call.failure = SendingFailure::OutOfTime;
    const bool may_have_run = call.may_have_run || (call.at.has_value() && isWhollySent(call));
    recall(call, now);
    if (may_have_run) {
      finish(id, {CallOutcome::TimedOut, {}, Duration::zero()}, now);
    } else {
      finishNotRun(id, now);
    }
  }
}

}  // namespace cometstand::sidecar

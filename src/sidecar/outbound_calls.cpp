#include "sidecar/outbound_calls.h"

#include <algorithm>
#include <utility>

#include "base/event_log.h"
#include "sidecar/events.h"

namespace cometstand::sidecar {
namespace {

/// A request with less time left until its deadline is not sent.
constexpr Duration kMinTimeLeft = std::chrono::milliseconds(10);
/// How long an endpoint is avoided after it refused a request because it was full or cold: about the
/// time until one of its slots is free.
constexpr Duration kFullAvoidance = std::chrono::milliseconds(30);
/// How long an endpoint is avoided after it refused a request because its target is down or draining: about
/// the time that the changed endpoint state takes to reach all sidecars.
constexpr Duration kDownAvoidance = std::chrono::milliseconds(300);
/// Bodies up to this size are sent in the request message; larger ones are announced and sent as the endpoint
/// grants. 4 KiB take 5 ms on a link of 6 Mbit/s.
constexpr std::size_t kMaxInlineBodyBytes = 4 * 1024;

}  // namespace

using runtime::Address;

void OutboundCalls::begin(CallId id, Call call, TimePoint now) {
  if (table_ == nullptr || refuses_all_) {
    refuse(id, CallOutcome::NotRun, now);
    return;
  }
  auto route = table_->find(call.host, call.request.target);
  if (route == nullptr) {
    refuse(id, CallOutcome::NoRoute, now);
    return;
  }
  const auto tenant = tenantOf(call);
  if (table_->tenants().requiresKey() && tenant == nullptr && !route->is_public) {
    refuseKey(id, call, *route, now);
    return;
  }
  CallState state;
  state.request = std::make_shared<wire::ForwardRequestT>(std::move(call.request));
  state.request->service = mesh::drawService(*route, parts_.random);
  state.request->tenant = tenant == nullptr ? "" : tenant->name;
  state.request->priority = table_->tenants().requiresKey()
                                ? mesh::combinedPriority(tenant.get(), route->priority)
                                : route->priority;
  const bool has_limit = tenant != nullptr && tenant->requests_per_second > 0;
  state.request->objective_ms = route->objective_ms;
  const Duration timeout = std::chrono::milliseconds(route->timeout_ms);
  state.started_at = now;
  state.accepts_streaming = call.accepts_streaming;
  state.caller_deadline = now + call.deadline.value_or(timeout);
  state.deadline = std::min(state.caller_deadline, now + timeout);
  if (outlastsStop(route, state.deadline, now)) {
    refuse(id, CallOutcome::NotRun, now);
    return;
  }
  state.route = std::move(route);
  state.revision = table_->revision();
  budget_.onRequest(state.request->service, now);
  auto& most_urgent = most_urgent_.try_emplace(state.request->service, state.request->priority).first->second;
  most_urgent = std::min(most_urgent, state.request->priority);
  deadlines_.emplace(state.deadline, id);
  calls_.emplace(id, std::move(state));
  if (has_limit) {
    sendWithinQuota(id, now);
  } else {
    sendNext(id, now);
  }
}

void OutboundCalls::beginStop(TimePoint now) {
  stop_began_ = now;
  // On a saturated link, large answers that are granted at the usual rate outlast a planned stop and are cut.
  answers_.expediteAll(now + parts_.options.requestCancelTime(), now);
}

bool OutboundCalls::outlastsStop(const mesh::RoutePointer& route, TimePoint deadline, TimePoint now) const {
  if (!stop_began_) return false;
  const TimePoint end = *stop_began_ + parts_.options.requestCancelTime();
  if (deadline <= end) return false;
  const bool takes_all = now < *stop_began_ + parts_.options.stop_accept_all;
  return !takes_all || now + forecast_.timeToCompletion(route->name, parts_.credit.rate()) > end;
}

EndpointCriteria OutboundCalls::criteriaOf(const CallState& call) const {
  EndpointCriteria criteria;
  criteria.service = call.request->service;
  criteria.bytes = call.request->body.size() + forecast_.answerBytes(call.route->name);
  criteria.has_large_body = call.request->body.size() > kMaxInlineBodyBytes;
  criteria.has_large_answer = parts_.options.answer_credit > 0 &&
                              forecast_.answerBytes(call.route->name) > parts_.options.answer_credit;
  criteria.max_wait = queueTimeLimit(call);
  criteria.regions = call.route->regions;
  criteria.may_repeat = call.route->repeatable;
  criteria.regions_of_newer_configuration = newerRegionsOf(call);
  criteria.is_urgent = isUrgent(call);
  criteria.refusal_share = call.refusals > 0 ? 1 : refusals_.of(criteria.service);
  return criteria;
}

Endpoint* OutboundCalls::chooseFor(const CallState& call, TimePoint now) {
  if (call.deadline - now < kMinTimeLeft) return nullptr;
  const auto& service = call.request->service;
  auto criteria = criteriaOf(call);
  criteria.versions = parts_.rollouts.filterFor(service, call.tried_endpoints.empty(), parts_.random, now);
  auto* endpoint = parts_.endpoints.choose(criteria, call.tried_endpoints, parts_.random, now);
  const bool may_fall_back =
      criteria.versions.pool == VersionFilter::Pool::Canary && parts_.rollouts.isCanary(service);
  if (endpoint != nullptr || !may_fall_back) return endpoint;
  criteria.versions = parts_.rollouts.filterFor(service, false, parts_.random, now);
  return parts_.endpoints.choose(criteria, call.tried_endpoints, parts_.random, now);
}

void OutboundCalls::sendNext(CallId id, TimePoint now) {
  auto& call = calls_.at(id);
  if (parts_.quarantine.isQuarantined(*call.request)) {
    finishQuarantined(id, now);
    return;
  }
  auto* endpoint = chooseFor(call, now);
  if (endpoint != nullptr) {
    send(id, call, *endpoint, now);
  } else if (call.may_have_run) {
    finish(id, CallAnswer(), now);
  } else {
    finishNotRun(id, now);
  }
}

void OutboundCalls::send(CallId id, CallState& call, Endpoint& endpoint, TimePoint now) {
  const std::uint64_t number = next_attempt_number_++;
  call.endpoint = endpoint.address;
  call.attempt_number = number;
  call.tried_endpoints.insert(endpoint.address);
  calls_by_attempt_.emplace(number, id);
  EndpointDirectory::noteSent(endpoint, now);
  call.sent_at = now;
  call.body_sent = 0;
  call.announced = needsAnnouncement(call, endpoint);
  call.expected_bytes = call.request->body.size() + forecast_.answerBytes(call.route->name);
  parts_.endpoints.regionLinks().onSent(endpoint, call.expected_bytes, now);
  if (endpoint.address == parts_.options.advertise) {
    // Shared: only one attempt is in progress at a time.
    prepareAttempt(*call.request, call, endpoint, now);
    parts_.gate.admit({runtime::LinkId{}, number}, call.request, now);
  } else {
    parts_.actions.send(*parts_.peers.linkTo(endpoint.address), requestFor(call, endpoint, now), number);
  }
}

bool OutboundCalls::needsAnnouncement(const CallState& call, const Endpoint& endpoint) const {
  return call.request->body.size() > kMaxInlineBodyBytes && endpoint.address != parts_.options.advertise;
}

/// @return a copy of the request for one attempt, because the message of the previous attempt may still be in
/// flight. An announced body is left out.
wire::ForwardRequestT OutboundCalls::requestFor(CallState& call, const Endpoint& endpoint,
                                                TimePoint now) const {
  auto body = std::move(call.request->body);
  wire::ForwardRequestT request = *call.request;
  if (call.announced) {
    request.announced_bytes = static_cast<std::uint32_t>(body.size());
  } else {
    request.body = body;
  }
  call.request->body = std::move(body);
  prepareAttempt(request, call, endpoint, now);
  return request;
}

/// Sets what differs from one attempt to the next.
void OutboundCalls::prepareAttempt(wire::ForwardRequestT& request, const CallState& call,
                                   const Endpoint& endpoint, TimePoint now) const {
  request.deadline_ms = static_cast<std::uint32_t>(ceilMilliseconds(call.deadline - now));
  request.patience_ms = static_cast<std::uint32_t>(ceilMilliseconds(remainingQueueTime(call, now)));
  request.is_retry = call.attempts > 0;
  request.answer_credit = parts_.options.answer_credit;
  request.answer_bytes = static_cast<std::uint32_t>(forecast_.answerBytes(call.route->name));
  request.route = routeNameFor(call, endpoint);
  request.statement.reset();
  const auto* statement = parts_.endpoints.statementOf(endpoint);
  if (statement != nullptr && statement->rate_limit)
    request.statement = std::make_shared<wire::TargetStatementT>(*statement);
}

bool OutboundCalls::isFullySent(const CallState& call) {
  return !call.announced || call.body_sent == call.request->body.size();
}

void OutboundCalls::onGrant(const Address& from, std::uint64_t request_id, std::size_t bytes, TimePoint now) {
  const auto sent = calls_by_attempt_.find(request_id);
  if (sent == calls_by_attempt_.end()) return;
  auto& call = calls_.at(sent->second);
  const auto link = parts_.peers.linkTo(from);
  if (call.endpoint != from || !call.announced || !link) return;
  const auto& body = call.request->body;
  const std::size_t length = std::min(bytes, body.size() - call.body_sent);
  if (length == 0) return;
  const auto* endpoint = parts_.endpoints.find(from);
  if (endpoint != nullptr && !parts_.endpoints.isAllowedRegion(*endpoint, criteriaOf(call))) {
    abortUpload(sent->second, call, now);
    return;
  }
  wire::BodyPartT part;
  const auto begin = body.begin() + static_cast<std::ptrdiff_t>(call.body_sent);
  part.bytes.assign(begin, begin + static_cast<std::ptrdiff_t>(length));
  call.body_sent += length;
  parts_.actions.send(*link, std::move(part), request_id);
}

/// All attempts share one queue time; each gets what is left of it, but at least `min_queue_wait`.
Duration OutboundCalls::remainingQueueTime(const CallState& call, TimePoint now) const {
  return std::max(queueTimeLimit(call) - (now - call.started_at), parts_.options.min_queue_wait);
}

Duration OutboundCalls::queueTimeLimit(const CallState& call) const {
  const Duration objective = std::chrono::milliseconds(call.route->objective_ms);
  return std::chrono::duration_cast<Duration>(objective * parts_.options.queue_share);
}

void OutboundCalls::onReply(const Address& from, std::uint64_t request_id, const wire::ForwardReplyT& reply,
                            TimePoint now) {
  auto* endpoint = parts_.endpoints.find(from);
  if (endpoint != nullptr) parts_.endpoints.onReply(*endpoint, reply, now);
  const auto sent = calls_by_attempt_.find(request_id);
  if (sent == calls_by_attempt_.end()) return;
  const CallId id = sent->second;
  auto& call = calls_.at(id);
  if (call.endpoint != from) return;
  if (reply.outcome == wire::ForwardOutcome::Answered && reply.body_follows) {
    if (answers_.contains(request_id)) return;
    forecast_.recordTimeToFirstByte(call.route->name, now - call.sent_at);
    answers_.begin(request_id, reply, call.request->priority, crossRegionRoundTrip(endpoint, now), now);
    if (endpoint != nullptr && !endpoint->live)
      answers_.expedite(request_id, now + parts_.options.requestCancelTime(), now);
    return;
  }
  if (answers_.contains(request_id)) {
    // A second answer to the same attempt violates the protocol.
    onAnswerAborted(id, call, AttemptFailure::ProtocolViolation, now);
    return;
  }
  if (reply.outcome == wire::ForwardOutcome::Answered)
    forecast_.recordTimeToFirstByte(call.route->name, now - call.sent_at);
  finishAttempt(id, reply, now);
}

void OutboundCalls::finishAttempt(CallId id, const wire::ForwardReplyT& reply, TimePoint now) {
  auto& call = calls_.at(id);
  auto* endpoint = parts_.endpoints.find(*call.endpoint);
  calls_by_attempt_.erase(call.attempt_number);
  call.endpoint.reset();
  if (endpoint != nullptr && endpoint->outstanding > 0) --endpoint->outstanding;
  if (endpoint != nullptr) noteTransfer(call, *endpoint, reply, now);
  switch (reply.outcome) {
    case wire::ForwardOutcome::Answered:
      forecast_.recordSize(call.route->name, call.streamed_bytes + reply.body.size());
      forecast_.recordTimeToCompletion(call.route->name, now - call.sent_at);
      parts_.endpoints.noteAnswered(call.request->service, now - call.sent_at);
      finish(id, {CallOutcome::Answered, reply, Duration::zero()}, now);
      return;
    case wire::ForwardOutcome::NotRun:
      onRefused(id, call, reply, now);
      return;
    case wire::ForwardOutcome::Unknown:
      call.failure = AttemptFailure::ReportedByEndpoint;
      onFailed(id, call, now);
      return;
  }
}

bool OutboundCalls::isUrgent(const CallState& call) const {
  const auto known = most_urgent_.find(call.request->service);
  return known == most_urgent_.end() || call.request->priority <= known->second;
}

void OutboundCalls::onRefused(CallId id, CallState& call, const wire::ForwardReplyT& reply, TimePoint now) {
  if (reply.reason == wire::NotRunReason::Quarantined) {
    finishQuarantined(id, now);
    return;
  }
  const Duration suggested = std::chrono::milliseconds(reply.retry_after_ms);
  call.retry_after = call.retry_after == Duration::zero() ? suggested : std::min(call.retry_after, suggested);
  ++call.refusals;
  for (const auto& address : call.tried_endpoints) {
    auto* endpoint = parts_.endpoints.find(address);
    if (endpoint == nullptr || call.refusals > 1) continue;
    const bool is_full = reply.reason == wire::NotRunReason::Full ||
                         reply.reason == wire::NotRunReason::Cold ||
                         reply.reason == wire::NotRunReason::Limited;
    endpoint->avoid_until = now + (is_full ? kFullAvoidance : kDownAvoidance);
  }
  const bool reached_target = reply.reached_target;
  if (reached_target) ++call.attempts;
  const bool is_allowed = call.refusals < parts_.options.max_refusals &&
                          call.attempts < call.route->max_attempts &&
                          (!reached_target || budget_.take(call.request->service, isUrgent(call), now));
  if (is_allowed) {
    sendNext(id, now);
  } else if (call.may_have_run) {
    finish(id, CallAnswer(), now);
  } else {
    finishNotRun(id, now);
  }
}

void OutboundCalls::onFailed(CallId id, CallState& call, TimePoint now) {
  call.may_have_run = true;
  ++call.attempts;
  const bool may_repeat = !call.is_streamed && call.route->repeatable &&
                          call.attempts < call.route->max_attempts && call.deadline - now >= kMinTimeLeft &&
                          !parts_.quarantine.isSuspect(*call.request) &&
                          budget_.take(call.request->service, isUrgent(call), now);
  if (!may_repeat) {
    finish(id, CallAnswer(), now);
    return;
  }
  ++metrics_.retries;
  logEvent(kCallRetried, {{"request", call.request->request_id}, {"service", call.request->service}});
  sendNext(id, now);
}

}  // namespace cometstand::sidecar

#include "sidecar/outbound_calls.h"

#include <algorithm>
#include <utility>

#include "base/event_log.h"
#include "sidecar/events.h"

namespace cometstand::sidecar {
namespace {

/// With less time left a request is not sent any more.
constexpr Duration kLeastTimeLeft = std::chrono::milliseconds(10);
/// An endpoint that refused is avoided for a while: a full one for about the time in which one of its slots
/// gets free, one whose target is down or leaves for as long as news of that take to come round.
constexpr Duration kRefusedAvoidance = std::chrono::milliseconds(30);
constexpr Duration kDownAvoidance = std::chrono::milliseconds(300);
/// Bodies up to this size go with their request; larger ones are announced and sent as the endpoint grants.
/// On a link of 6 Mbit/s this much takes 5 ms.
constexpr std::size_t kMostInlineBody = 4 * 1024;

}  // namespace

using runtime::Address;

void OutboundCalls::begin(CallId id, Call call, TimePoint now) {
  if (table_ == nullptr || stop_ends_) {
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
  state.began = now;
  state.takes_parts = call.takes_parts;
  state.caller_leaves = now + call.deadline.value_or(timeout);
  state.deadline = std::min(state.caller_leaves, now + timeout);
  if (endsTooLate(route, state.deadline, now)) {
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
  // In the pace of all others an answer of 90 KB took 1.2 s by the median and 6 s at the 95th percentile
  // behind a full link, as measured by stopping 75 sidecars in turn: longer than a stop.
  answers_.expediteAll(now + parts_.options.stopMaximum(), now);
}

bool OutboundCalls::endsTooLate(const mesh::RoutePointer& route, TimePoint deadline, TimePoint now) const {
  if (!stop_began_) return false;
  const TimePoint end = *stop_began_ + parts_.options.stopMaximum();
  if (deadline <= end) return false;
  const bool takes_all = now < *stop_began_ + parts_.options.stop_accept_all;
  return !takes_all || now + forecast_.timeUntilWhole(route->name, parts_.credit.rate()) > end;
}

EndpointWant OutboundCalls::wantOf(const CallState& call) const {
  EndpointWant want;
  want.service = call.request->service;
  want.bytes = call.request->body.size() + forecast_.answerBytes(call.route->name);
  want.has_large_body = call.request->body.size() > kMostInlineBody;
  want.has_large_answer = parts_.options.answer_credit > 0 &&
                          forecast_.answerBytes(call.route->name) > parts_.options.answer_credit;
  want.patience = patienceShare(call);
  want.regions = call.route->regions;
  want.may_repeat = call.route->repeatable;
  want.newer_regions = newerRegionsOf(call);
  want.is_urgent = isUrgent(call);
  want.refused_share = call.refusals > 0 ? 1 : refusals_.of(want.service);
  return want;
}

Endpoint* OutboundCalls::chooseFor(const CallState& call, TimePoint now) {
  if (call.deadline - now < kLeastTimeLeft) return nullptr;
  const auto& service = call.request->service;
  auto want = wantOf(call);
  want.versions = parts_.rollouts.filterFor(service, call.tried.empty(), parts_.random, now);
  auto* endpoint = parts_.endpoints.choose(want, call.tried, parts_.random, now);
  const bool may_fall_back =
      want.versions.pool == VersionFilter::Pool::Canary && parts_.rollouts.isCanary(service);
  if (endpoint != nullptr || !may_fall_back) return endpoint;
  want.versions = parts_.rollouts.filterFor(service, false, parts_.random, now);
  return parts_.endpoints.choose(want, call.tried, parts_.random, now);
}

void OutboundCalls::sendNext(CallId id, TimePoint now) {
  auto& call = calls_.at(id);
  if (parts_.quarantine.blocks(*call.request)) {
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
  const std::uint64_t number = next_sending_++;
  call.at = endpoint.address;
  call.sent_as = number;
  call.tried.insert(endpoint.address);
  sent_.emplace(number, id);
  EndpointDirectory::noteSent(endpoint, now);
  call.sent_at = now;
  call.body_sent = 0;
  call.announced = announces(call, endpoint);
  call.expected_bytes = call.request->body.size() + forecast_.answerBytes(call.route->name);
  parts_.endpoints.regionLinks().onSent(endpoint, call.expected_bytes, now);
  auto request = requestFor(call, endpoint, now);
  if (endpoint.address == parts_.options.advertise) {
    parts_.gate.admit({runtime::LinkId{}, number},
                      std::make_shared<const wire::ForwardRequestT>(std::move(request)), now);
  } else {
    parts_.actions.send(*parts_.peers.linkTo(endpoint.address), std::move(request), number);
  }
}

bool OutboundCalls::announces(const CallState& call, const Endpoint& endpoint) const {
  return call.request->body.size() > kMostInlineBody && endpoint.address != parts_.options.advertise;
}

/// @return a copy for one sending, as the last one may still be on its way; without a body that is announced.
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
  request.deadline_ms = static_cast<std::uint32_t>(ceilMilliseconds(call.deadline - now));
  request.patience_ms = static_cast<std::uint32_t>(ceilMilliseconds(patienceOf(call, now)));
  request.is_retry = call.sendings > 0;
  request.answer_credit = parts_.options.answer_credit;
  request.answer_bytes = static_cast<std::uint32_t>(forecast_.answerBytes(call.route->name));
  request.route = routeNameFor(call, endpoint);
  return request;
}

bool OutboundCalls::isWhollySent(const CallState& call) {
  return !call.announced || call.body_sent == call.request->body.size();
}

void OutboundCalls::onGrant(const Address& from, std::uint64_t request_id, std::size_t bytes, TimePoint now) {
  const auto sent = sent_.find(request_id);
  if (sent == sent_.end()) return;
  auto& call = calls_.at(sent->second);
  const auto link = parts_.peers.linkTo(from);
  if (call.at != from || !call.announced || !link) return;
  const auto& body = call.request->body;
  const std::size_t length = std::min(bytes, body.size() - call.body_sent);
  if (length == 0) return;
  const auto* endpoint = parts_.endpoints.find(from);
  if (endpoint != nullptr && !parts_.endpoints.isAllowedRegion(*endpoint, wantOf(call))) {
    withdrawBody(sent->second, call, now);
    return;
  }
  wire::BodyPartT part;
  const auto begin = body.begin() + static_cast<std::ptrdiff_t>(call.body_sent);
  part.bytes.assign(begin, begin + static_cast<std::ptrdiff_t>(length));
  call.body_sent += length;
  parts_.actions.send(*link, std::move(part), request_id);
}

/// What one endpoint after another may take together, at least a little for each.
Duration OutboundCalls::patienceOf(const CallState& call, TimePoint now) const {
  return std::max(patienceShare(call) - (now - call.began), parts_.options.least_patience);
}

Duration OutboundCalls::patienceShare(const CallState& call) const {
  const Duration objective = std::chrono::milliseconds(call.route->objective_ms);
  return std::chrono::duration_cast<Duration>(objective * parts_.options.queue_share);
}

void OutboundCalls::onReply(const Address& from, std::uint64_t request_id, const wire::ForwardReplyT& reply,
                            TimePoint now) {
  auto* endpoint = parts_.endpoints.find(from);
  if (endpoint != nullptr) parts_.endpoints.onReply(*endpoint, reply, now);
  const auto sent = sent_.find(request_id);
  if (sent == sent_.end()) return;
  const CallId id = sent->second;
  auto& call = calls_.at(id);
  if (call.at != from) return;
  if (reply.outcome == wire::ForwardOutcome::Answered && reply.body_follows) {
    if (answers_.contains(request_id)) return;
    forecast_.noteBeginning(call.route->name, now - call.sent_at);
    answers_.begin(request_id, reply, call.request->priority, wayTo(endpoint, now), now);
    if (endpoint != nullptr && !endpoint->live)
      answers_.expedite(request_id, now + parts_.options.stopMaximum(), now);
    return;
  }
  if (answers_.contains(request_id)) {
    // No sound endpoint answers twice.
    onAnswerBroken(id, call, SendingFailure::Unsound, now);
    return;
  }
  if (reply.outcome == wire::ForwardOutcome::Answered)
    forecast_.noteBeginning(call.route->name, now - call.sent_at);
  conclude(id, reply, now);
}

void OutboundCalls::conclude(CallId id, const wire::ForwardReplyT& reply, TimePoint now) {
  auto& call = calls_.at(id);
  auto* endpoint = parts_.endpoints.find(*call.at);
  sent_.erase(call.sent_as);
  call.at.reset();
  if (endpoint != nullptr && endpoint->outstanding > 0) --endpoint->outstanding;
  if (endpoint != nullptr) noteTransfer(call, *endpoint, reply, now);
  switch (reply.outcome) {
    case wire::ForwardOutcome::Answered:
      forecast_.noteSize(call.route->name, call.passed_bytes + reply.body.size());
      forecast_.noteWhole(call.route->name, now - call.sent_at);
      parts_.endpoints.noteAnswered(call.request->service, now - call.sent_at);
      finish(id, {CallOutcome::Answered, reply, Duration::zero()}, now);
      return;
    case wire::ForwardOutcome::NotRun:
      onRefused(id, call, reply, now);
      return;
    case wire::ForwardOutcome::Unknown:
      call.failure = SendingFailure::EndpointSaidSo;
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
  const Duration wish = std::chrono::milliseconds(reply.retry_after_ms);
  call.retry_after = call.retry_after == Duration::zero() ? wish : std::min(call.retry_after, wish);
  ++call.refusals;
  for (const auto& address : call.tried) {
    auto* endpoint = parts_.endpoints.find(address);
    if (endpoint == nullptr || call.refusals > 1) continue;
    const bool is_full = reply.reason == wire::NotRunReason::Full || reply.reason == wire::NotRunReason::Cold;
    endpoint->avoid_until = now + (is_full ? kRefusedAvoidance : kDownAvoidance);
  }
  const bool reached_target = reply.reached_target;
  if (reached_target) ++call.sendings;
  const bool is_allowed = call.refusals < parts_.options.max_refusals &&
                          call.sendings < call.route->max_attempts &&
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
  ++call.sendings;
  const bool may_repeat = !call.is_passed_on && call.route->repeatable &&
                          call.sendings < call.route->max_attempts && call.deadline - now >= kLeastTimeLeft &&
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

#include "proxy/data_path.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/lexical_cast/try_lexical_convert.hpp>
#include <type_traits>

#include "proxy/claim_messages.h"

namespace cometstand::proxy {
namespace {

constexpr unsigned kStatusNotFound = 404;
constexpr unsigned kStatusServerError = 500;
constexpr unsigned kStatusUnavailable = 503;

/// Seeds of the parts differ, so that their choices are independent.
constexpr std::uint64_t kAdmissionSeedOffset = 1;
constexpr std::uint64_t kRetrySeedOffset = 2;

struct RefusalText {
  ErrorKind kind;
  std::string_view message;
  std::string_view remedy;
};

RefusalText textOf(RefusalReason reason) {
  constexpr std::string_view kWait = "send it again after the given time";
  switch (reason) {
    case RefusalReason::QueueFull:
      return {ErrorKind::Overloaded, "too many requests of this tenant wait", kWait};
    case RefusalReason::WaitTooLong:
      return {ErrorKind::Overloaded, "the expected wait passes the request's time limit", kWait};
    case RefusalReason::DeadlinePassed:
      return {ErrorKind::Timeout, "the time limit passed before the request was sent to a back end",
              "send it again after the given time, or with a longer time limit"};
    case RefusalReason::Displaced:
      return {ErrorKind::Overloaded, "requests of a higher class fill the queue", kWait};
    case RefusalReason::NoRoute:
      return {ErrorKind::NotFound, "no route matches the host, path and method",
              "check the request's address"};
    case RefusalReason::NoEndpoint:
      return {ErrorKind::Unavailable, "the service has no endpoint that takes work", kWait};
    case RefusalReason::Stopping:
      return {ErrorKind::Stopping, "the proxy is stopping", "send it again through another proxy"};
    case RefusalReason::NotReady:
      return {ErrorKind::Unavailable, "the proxy has no configuration yet",
              "send it again after the given time, or through another proxy"};
  }
  return {ErrorKind::Unavailable, "the request was refused", kWait};
}

FinalAnswer refusalAnswer(RefusalReason reason, Duration retry_after) {
  const auto text = textOf(reason);
  FinalAnswer answer;
  answer.outcome = wire::Outcome::NotRun;
  answer.status = reason == RefusalReason::NoRoute ? kStatusNotFound : kStatusUnavailable;
  answer.kind = text.kind;
  answer.message = text.message;
  answer.remedy = text.remedy;
  answer.retry_after = retry_after;
  return answer;
}

wire::EndpointRecordT sightingOf(const Endpoint& endpoint) {
  wire::EndpointRecordT record;
  record.tenant = endpoint.key.service.tenant;
  record.service = endpoint.key.service.service;
  record.endpoint = endpoint.key.endpoint;
  record.address = endpoint.address.host;
  record.port = endpoint.address.port;
  record.zone = endpoint.zone;
  record.incarnation = endpoint.incarnation;
  record.state = wire::EndpointState::Leaving;
  record.slots = endpoint.slots;
  record.max_connections = endpoint.max_connections;
  return record;
}

}  // namespace

DataPath::Request::Request(CallerRequestPointer caller_message, RoutePointer matched_route,
                           const RequestTraits& traits, RetryPolicy& retries, TimePoint now)
    : message(std::move(caller_message)),
      route(std::move(matched_route)),
      machine(traits, retries),
      admitted_at(now),
      attempt_began_at(now) {}

DataPath::DataPath(const DataPathOptions& options, std::uint64_t seed)
    : options_(options),
      balancer_(options.balancer, seed),
      admission_(options.admission, seed + kAdmissionSeedOffset),
      retries_(options.retry, seed + kRetrySeedOffset),
      drain_(options) {}

void DataPath::setRouter(std::shared_ptr<const Router> router, TimePoint now) {
  router_ = std::move(router);
  balancer_.endpointSet().setServices(router_->services(), now);
  for (const auto& [service, spec] : router_->services()) {
    admission_.setTenantLimit(service.tenant, router_->maxInFlight(service.tenant));
    admission_.setCapacity(service, balancer_.capacity(service, now));
  }
}

void DataPath::applyEndpointRecord(const wire::EndpointRecordT& record, TimePoint now) {
  balancer_.endpointSet().applyRecord(record, now);
  const ServiceKey service{record.tenant, record.service};
  admission_.setCapacity(service, balancer_.capacity(service, now));
  admission_.onTimer(now);
  processAdmission(now);
}

DataPath::Request* DataPath::find(RequestId id) {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : &found->second;
}

RequestTraits DataPath::traitsOf(const CallerRequest& message, const ResolvedRoute& route,
                                 TimePoint now) const {
  RequestTraits traits;
  traits.service = route.service;
  traits.repeatable = route.repeatable;
  traits.needs_claim = !route.repeatable && !message.idempotency_key.empty();
  traits.incoming_attempt = message.attempt;
  traits.max_retries = route.max_retries;
  traits.deadline = now + std::min(route.timeout, message.time_left.value_or(route.timeout));
  return traits;
}

RequestId DataPath::onRequest(const CallerRequestPointer& message, TimePoint now) {
  const RequestId id{next_request_++};
  if (router_ == nullptr) return refuseAtOnce(id, RefusalReason::NotReady, retries_.retryAfter());
  const auto route = router_->find(message->host, message->target, message->method);
  if (route == nullptr) return refuseAtOnce(id, RefusalReason::NoRoute, Duration::zero());
  const auto traits = traitsOf(*message, *route, now);
  const auto position = requests_.try_emplace(id, message, route, traits, retries_, now).first;
  admitOrRefuse(id, position->second, now);
  processAdmission(now);
  process(id, now);
  return id;
}

RequestId DataPath::refuseAtOnce(RequestId id, RefusalReason reason, Duration retry_after) {
  metrics_.countRefusal(reason);
  orders_.emplace_back(AnswerOrder{id, refusalAnswer(reason, retry_after)});
  return id;
}

void DataPath::admitOrRefuse(RequestId id, Request& request, TimePoint now) {
  const auto& service = request.route->service;
  if (drain_.refusing(now)) {
    refuse(id, request, RefusalReason::Stopping, retries_.retryAfter());
  } else if (now >= request.machine.traits().deadline) {
    refuse(id, request, RefusalReason::DeadlinePassed, retries_.retryAfter());
  } else if (!balancer_.hasEndpoints(service, now)) {
    refuse(id, request, RefusalReason::NoEndpoint, retries_.retryAfter());
  } else {
    admission_.setCapacity(service, balancer_.capacity(service, now));
    admission_.offer({id, service, request.route->request_class, request.machine.traits().deadline}, now);
  }
}

void DataPath::refuse(RequestId /*id*/, Request& request, RefusalReason reason, Duration retry_after) {
  metrics_.countRefusal(reason);
  request.machine.onRefused(refusalAnswer(reason, retry_after));
}

void DataPath::processAdmission(TimePoint now) {
  for (auto changes = admission_.takeChanges(); !changes.admitted.empty() || !changes.refused.empty();
       changes = admission_.takeChanges()) {
    for (const auto& refusal : changes.refused) {
      auto* request = find(refusal.id);
      if (request == nullptr) continue;
      refuse(refusal.id, *request, refusal.reason, refusal.retry_after);
      process(refusal.id, now);
    }
    for (const RequestId id : changes.admitted) {
      auto* request = find(id);
      if (request == nullptr) continue;
      request->admitted = true;
      request->admitted_at = now;
      request->machine.onAdmitted(now);
      process(id, now);
    }
  }
  updateGauges();
}

void DataPath::startAttempt(RequestId id, Request& request, TimePoint now) {
  const auto& machine = request.machine;
  request.endpoint = balancer_.pick(request.route->service, request.avoid, now);
  if (request.endpoint == nullptr) {
    request.machine.onNoEndpoint(now);
    return;
  }
  request.avoid.endpoints.push_back(request.endpoint);
  request.avoid.zone = request.endpoint->zone;
  request.attempt_began_at = now;
  ++metrics_.attempts;
  if (machine.attemptsMade() > 1) ++metrics_.retries;
  SendOrder order;
  order.request = id;
  order.attempt = machine.attemptsMade();
  order.endpoint = request.endpoint->key;
  order.address = request.endpoint->address;
  order.connection_budget = balancer_.connectionBudget(*request.endpoint);
  order.message = request.message;
  order.route = request.route;
  order.attempt_header = std::max(request.message->attempt, machine.attemptsMade());
  order.deadline = machine.traits().deadline;
  orders_.emplace_back(std::move(order));
}

void DataPath::endAttempt(Request& request, AttemptVerdict verdict, TimePoint now) {
  if (request.endpoint == nullptr) return;
  balancer_.finish(*request.endpoint, verdict, now);
  if (verdict == AttemptVerdict::Success) request.result = WorkResult::Success;
  if (verdict == AttemptVerdict::Leaving) orders_.emplace_back(SightingOrder{sightingOf(*request.endpoint)});
  request.endpoint = nullptr;
}

AttemptVerdict DataPath::verdictOf(const BackendResponse& response) const {
  const auto not_run = findHeader(response.headers, kNotRunHeader);
  if (response.status == kStatusUnavailable && not_run) {
    return *not_run == "leaving" ? AttemptVerdict::Leaving : AttemptVerdict::Shed;
  }
  return response.status >= kStatusServerError ? AttemptVerdict::Failure : AttemptVerdict::Success;
}

void DataPath::reportLoad(Request& request, const BackendResponse& response, TimePoint now) const {
  const auto text = findHeader(response.headers, kLoadHeader);
  double load = 0;
  if (!text || request.endpoint == nullptr) return;
  if (boost::conversion::try_lexical_convert(*text, load))
    Balancer::onLoadReport(*request.endpoint, load, now);
}

bool DataPath::beginSending(RequestId id, unsigned attempt) {
  auto* request = find(id);
  return request != nullptr && request->machine.beginSending(attempt);
}

void DataPath::onAttemptFailed(RequestId id, unsigned attempt, AttemptFailure failure, TimePoint now) {
  auto* request = find(id);
  if (request == nullptr || attempt != request->machine.attemptsMade()) return;
  endAttempt(*request, AttemptVerdict::Failure, now);
  request->machine.onAttemptFailed(attempt, failure, now);
  process(id, now);
}

void DataPath::onResponse(RequestId id, unsigned attempt, const BackendResponsePointer& response,
                          TimePoint now) {
  auto* request = find(id);
  if (request == nullptr || attempt != request->machine.attemptsMade()) return;
  reportLoad(*request, *response, now);
  endAttempt(*request, verdictOf(*response), now);
  request->machine.onResponse(attempt, response, now);
  process(id, now);
}

void DataPath::onStreamStarted(RequestId id, unsigned attempt, const BackendResponsePointer& head,
                               TimePoint now) {
  auto* request = find(id);
  if (request == nullptr) return;
  reportLoad(*request, *head, now);
  request->machine.onStreamStarted(attempt, head);
  process(id, now);
}

void DataPath::onStreamEnded(RequestId id, unsigned attempt, bool whole, TimePoint now) {
  auto* request = find(id);
  if (request == nullptr || attempt != request->machine.attemptsMade()) return;
  endAttempt(*request, whole ? AttemptVerdict::Success : AttemptVerdict::Failure, now);
  request->machine.onStreamEnded(attempt, whole);
  process(id, now);
}

void DataPath::onClaimReply(RequestId id, const wire::ClaimReplyT& reply, TimePoint now) {
  auto* request = find(id);
  if (request == nullptr) return;
  request->machine.onClaimReply(reply, now);
  process(id, now);
}

void DataPath::onCallerGone(RequestId id, TimePoint now) {
  auto* request = find(id);
  if (request == nullptr) return;
  ++metrics_.callers_gone;
  request->machine.onCallerGone();
  process(id, now);
}

void DataPath::processOne(RequestId id, Request& request, RequestAction& action, TimePoint now) {
  const auto request_class = request.route->request_class;
  std::visit(
      [&](auto& each) {
        using Action = std::decay_t<decltype(each)>;
        if constexpr (std::is_same_v<Action, StartAttempt>) {
          startAttempt(id, request, now);
        } else if constexpr (std::is_same_v<Action, CancelAttempt>) {
          const bool late = now >= request.machine.traits().deadline;
          // A short time limit of the caller's own says nothing about the endpoint.
          const bool had_time = now - request.attempt_began_at >= request.route->timeout / 2;
          if (late) request.result = WorkResult::Overload;
          endAttempt(request, late && had_time ? AttemptVerdict::Failure : AttemptVerdict::Neutral, now);
          orders_.emplace_back(CancelOrder{id, each.number});
        } else if constexpr (std::is_same_v<Action, AnswerCaller>) {
          metrics_.countOutcome(each.answer.outcome, request_class);
          orders_.emplace_back(AnswerOrder{id, std::move(each.answer)});
        } else if constexpr (std::is_same_v<Action, StartStream>) {
          orders_.emplace_back(StreamOrder{id, each.head});
        } else if constexpr (std::is_same_v<Action, EndStream>) {
          metrics_.countOutcome(wire::Outcome::Completed, request_class);
          orders_.emplace_back(EndStreamOrder{id});
        } else if constexpr (std::is_same_v<Action, AbortCaller>) {
          metrics_.countOutcome(wire::Outcome::Unknown, request_class);
          orders_.emplace_back(AbortOrder{id});
        } else if constexpr (std::is_same_v<Action, TakeClaim>) {
          ++metrics_.claims_asked;
          orders_.emplace_back(
              ClaimOrder{id, makeClaimRequest(*request.route, *request.message, claimAttempt(id))});
        } else if constexpr (std::is_same_v<Action, FinishClaim>) {
          orders_.emplace_back(
              ClaimFinishOrder{makeClaimFinish(*request.route, *request.message, claimAttempt(id), each.end,
                                               each.answer, options_.max_recorded_answer_bytes)});
        }
      },
      action);
}

void DataPath::process(RequestId id, TimePoint now) {
  auto* request = find(id);
  if (request == nullptr) return;
  for (auto actions = request->machine.takeActions(); !actions.empty();
       actions = request->machine.takeActions()) {
    for (auto& action : actions) processOne(id, *request, action, now);
  }
  const bool settled = request->machine.settled();
  // A request that only waits for the reply to its claim is no work for the service.
  if (settled || request->machine.nextTimer() == TimePoint::max()) {
    if (request->machine.answered() && request->endpoint == nullptr) leaveAdmission(id, *request, now);
  }
  updateTimer(id, *request);
  if (settled) requests_.erase(id);
  processAdmission(now);
}

void DataPath::leaveAdmission(RequestId id, Request& request, TimePoint now) {
  if (!request.admitted) {
    admission_.remove(id);
    return;
  }
  request.admitted = false;
  const auto& service = request.route->service;
  admission_.setCapacity(service, balancer_.capacity(service, now));
  admission_.release(service, request.result, now - request.admitted_at, now);
}

void DataPath::updateTimer(RequestId id, Request& request) {
  const auto due = request.machine.nextTimer();
  if (due == request.timer) return;
  timers_.erase({request.timer, id});
  request.timer = due;
  if (due != TimePoint::max()) timers_.emplace(due, id);
}

void DataPath::onTimer(TimePoint now) {
  while (!timers_.empty() && timers_.begin()->first <= now) {
    const RequestId id = timers_.begin()->second;
    timers_.erase(timers_.begin());
    auto* request = find(id);
    if (request == nullptr) continue;
    request->timer = TimePoint::max();
    request->machine.onTimer(now);
    process(id, now);
  }
  admission_.onTimer(now);
  processAdmission(now);
}

TimePoint DataPath::nextTimer() const {
  const auto request_timer = timers_.empty() ? TimePoint::max() : timers_.begin()->first;
  return std::min(request_timer, admission_.nextTimer());
}

std::string DataPath::claimAttempt(RequestId id) const {
  return fmt::format("{}-{}", options_.claim_prefix, static_cast<std::uint64_t>(id));
}

void DataPath::updateGauges() {
  metrics_.in_flight = requests_.size();
  metrics_.queued = admission_.queued();
  metrics_.ejections = balancer_.ejections();
}

}  // namespace cometstand::proxy

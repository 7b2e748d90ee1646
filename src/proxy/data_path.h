#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "proxy/admission_queue.h"
#include "proxy/balancer.h"
#include "proxy/data_path_options.h"
#include "proxy/drain.h"
#include "proxy/http_message.h"
#include "proxy/metrics.h"
#include "proxy/request_machine.h"
#include "proxy/retry_policy.h"
#include "proxy/router.h"

namespace cometstand::proxy {

/// Send the request to the endpoint. Report back with the request's id and the attempt's number.
struct SendOrder {
  RequestId request;
  unsigned attempt;
  EndpointKey endpoint;
  runtime::Address address;
  /// Connections that the proxy may hold to this endpoint.
  unsigned connection_budget;
  CallerRequestPointer message;
  RoutePointer route;
  /// Value for X-Attempt.
  unsigned attempt_header;
  TimePoint deadline;
};
/// Close the attempt's connection.
struct CancelOrder {
  RequestId request;
  unsigned attempt;
};
struct AnswerOrder {
  RequestId request;
  FinalAnswer answer;
};
/// Pass the head, then the body as it comes from the back end.
struct StreamOrder {
  RequestId request;
  BackendResponsePointer head;
};
struct EndStreamOrder {
  RequestId request;
};
/// Abort the caller's connection.
struct AbortOrder {
  RequestId request;
};
/// Send the claim request to the store; its reply goes to onClaimReply().
struct ClaimOrder {
  RequestId request;
  wire::ClaimRequestT claim;
};
struct ClaimFinishOrder {
  wire::ClaimFinishT finish;
};
/// Tell the relay that an endpoint said itself that it leaves.
struct SightingOrder {
  wire::EndpointRecordT record;
};

using DataPathOrder = std::variant<SendOrder, CancelOrder, AnswerOrder, StreamOrder, EndStreamOrder,
                                   AbortOrder, ClaimOrder, ClaimFinishOrder, SightingOrder>;

/// The decisions of a proxy's data path for all its requests: routing, admission, balancing, retries, claims,
/// drain. It owns no socket and no clock: HttpServer drives it in the program, the simulator in rehearsal.
/// Call takeOrders() after each call, and onTimer() at nextTimer(). Not thread-safe.
class DataPath {
 public:
  DataPath(const DataPathOptions& options, std::uint64_t seed);

  // What the control side says.
  void setRouter(std::shared_ptr<const Router> router, TimePoint now);
  void applyEndpointRecord(const wire::EndpointRecordT& record, TimePoint now);
  void setSharingProxies(unsigned proxies) { balancer_.setSharingProxies(proxies); }
  void onClaimReply(RequestId request, const wire::ClaimReplyT& reply, TimePoint now);

  // What callers and back ends do.
  RequestId onRequest(const CallerRequestPointer& message, TimePoint now);
  void onCallerGone(RequestId request, TimePoint now);
  /// Called right before the first byte of an attempt may leave. @return false if it must not.
  [[nodiscard]] bool beginSending(RequestId request, unsigned attempt);
  void onAttemptFailed(RequestId request, unsigned attempt, AttemptFailure failure, TimePoint now);
  void onResponse(RequestId request, unsigned attempt, const BackendResponsePointer& response, TimePoint now);
  /// @param head of an answer that is too large to be buffered.
  void onStreamStarted(RequestId request, unsigned attempt, const BackendResponsePointer& head,
                       TimePoint now);
  void onStreamEnded(RequestId request, unsigned attempt, bool whole, TimePoint now);

  void onTimer(TimePoint now);
  TimePoint nextTimer() const;

  std::vector<DataPathOrder> takeOrders() { return std::exchange(orders_, {}); }

  /// Begins a planned stop.
  void beginDrain(TimePoint now) { drain_.begin(now); }
  const Drain& drain() const { return drain_; }
  /// @return requests that are not settled, claims to be given back included.
  std::size_t unsettled() const { return requests_.size(); }

  const DataPathMetrics& metrics() const { return metrics_; }
  const Balancer& balancer() const { return balancer_; }

 private:
  struct Request {
    Request(CallerRequestPointer caller_message, RoutePointer matched_route, const RequestTraits& traits,
            RetryPolicy& retries, TimePoint now);

    CallerRequestPointer message;
    RoutePointer route;
    RequestMachine machine;
    /// Of the present attempt; null between attempts.
    EndpointPointer endpoint;
    Balancer::Avoid avoid;
    TimePoint admitted_at;
    TimePoint attempt_began_at;
    TimePoint timer = TimePoint::max();
    bool admitted = false;
    /// What the service's limit learns from this request.
    WorkResult result = WorkResult::Neutral;
  };

  Request* find(RequestId id);
  RequestTraits traitsOf(const CallerRequest& message, const ResolvedRoute& route, TimePoint now) const;
  void refuse(RequestId id, Request& request, RefusalReason reason, Duration retry_after);
  RequestId refuseAtOnce(RequestId id, RefusalReason reason, Duration retry_after);
  void admitOrRefuse(RequestId id, Request& request, TimePoint now);
  void endAttempt(Request& request, AttemptVerdict verdict, TimePoint now);
  AttemptVerdict verdictOf(const BackendResponse& response) const;
  void reportLoad(Request& request, const BackendResponse& response, TimePoint now) const;
  void startAttempt(RequestId id, Request& request, TimePoint now);
  /// Carries out the machine's actions and settles the request; it may be erased.
  void process(RequestId id, TimePoint now);
  void processOne(RequestId id, Request& request, RequestAction& action, TimePoint now);
  void processAdmission(TimePoint now);
  void leaveAdmission(RequestId id, Request& request, TimePoint now);
  void updateTimer(RequestId id, Request& request);
  std::string claimAttempt(RequestId id) const;
  void updateGauges();

  DataPathOptions options_;
  /// Null until a view is in force.
  std::shared_ptr<const Router> router_;
  Balancer balancer_;
  AdmissionQueue admission_;
  RetryPolicy retries_;
  Drain drain_;
  std::map<RequestId, Request> requests_;
  std::set<std::pair<TimePoint, RequestId>> timers_;
  std::uint64_t next_request_ = 1;
  std::vector<DataPathOrder> orders_;
  DataPathMetrics metrics_;
};

}  // namespace cometstand::proxy

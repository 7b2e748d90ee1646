#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "mesh/route_table.h"
#include "runtime/action_queue.h"
#include "sidecar/caller_port.h"
#include "sidecar/endpoint_directory.h"
#include "sidecar/metrics.h"
#include "sidecar/peer_links.h"
#include "sidecar/quarantine.h"
#include "sidecar/refusal_share.h"
#include "sidecar/response_estimator.h"
#include "sidecar/response_intake.h"
#include "sidecar/retry_budget.h"
#include "sidecar/rollout_view.h"
#include "sidecar/target_gate.h"
#include "sidecar/tenant_quota.h"

namespace cometstand::sidecar {

/// Forwards the requests of this sidecar's callers: selects route and endpoint, retries failed attempts,
/// enforces the deadline and gives each request exactly one answer.
///
/// Invariants:
/// - A request that is not repeatable is never sent again once an attempt may have run.
/// - NotRun is answered only if no attempt may have run.
class OutboundCalls {
 public:
  struct Parts {
    const SidecarOptions& options;
    runtime::ActionQueue& actions;
    RandomSource& random;
    EndpointDirectory& endpoints;
    const PeerLinks& peers;
    TargetGate& gate;
    CallerPort& callers;
    const RolloutView& rollouts;
    const Quarantine& quarantine;
    ReceiveCredit& credit;
    TenantQuota& quota;
  };

  explicit OutboundCalls(const Parts& parts)
      : parts_(parts),
        budget_(parts.options.retry_ratio, parts.options.retry_burst, parts.options.retry_slack),
        answers_(parts.credit, [this](std::uint64_t attempt_number, const wire::BodyGrantT& grant) {
          sendAnswerGrant(attempt_number, grant);
        }) {}

  /// @param budget must outlive the object.
  void limitMemory(overload::MemoryBudget& budget) { answers_.limitMemory(budget); }
  void setRoutes(mesh::RouteTablePointer table) { table_ = std::move(table); }
  const mesh::RouteTablePointer& routes() const { return table_; }

  void begin(CallId id, Call call, TimePoint now);
  /// Starts a planned stop: refuses new requests that could not be answered before it ends.
  void beginStop(TimePoint now);
  /// Ends a planned stop: refuses all requests that arrive from now on.
  void refuseAllRequests() { refuses_all_ = true; }
  /// Called when the caller has read `bytes` bytes of an answer that is streamed to it.
  void onRead(CallId id, std::size_t bytes, TimePoint now);
  /// Ends a request whose caller has disconnected.
  void cancel(CallId id, TimePoint now);
  /// @param from the endpoint's address.
  /// @param request_id the number under which the attempt was sent.
  void onReply(const runtime::Address& from, std::uint64_t request_id, const wire::ForwardReplyT& reply,
               TimePoint now);
  /// @param sidecars the number of known sidecars, which share the retry budget.
  void setSidecarCount(std::size_t sidecars) { budget_.setSidecarCount(sidecars); }
  /// Handles an endpoint's grant to send `bytes` more bytes of an announced request body.
  void onGrant(const runtime::Address& from, std::uint64_t request_id, std::size_t bytes, TimePoint now);
  /// Handles the next part of an answer whose body follows its head.
  void onAnswerPart(const runtime::Address& from, std::uint64_t request_id, const wire::BodyPartT& part,
                    TimePoint now);
  /// Grants the rest of all answers from a draining endpoint at full rate, because its sidecar may stop soon.
  void onEndpointDraining(const runtime::Address& address, TimePoint now);
  /// Handles the loss of the link to an endpoint; requests that were sent over it may have run.
  void onPeerLost(const runtime::Address& address, TimePoint now);
  /// Retries to get tokens for the requests that wait for one, after the leader has answered.
  void onQuota(TimePoint now);
  void onTimer(TimePoint now);
  TimePoint nextTimer() const;
  std::size_t inFlight() const { return calls_.size(); }
  /// @return the number of large answers that are being received.
  std::size_t largeAnswersInFlight() const { return answers_.size(); }
  const CallMetrics& metrics() const { return metrics_; }

 private:
  /// Why the latest attempt of a request brought no complete answer.
  enum class AttemptFailure : std::uint8_t {
    None,
    /// The endpoint reported a failure, or aborted its answer.
    ReportedByEndpoint,
    /// The link to the endpoint was lost.
    LinkLost,
    /// The endpoint answered twice, or sent more than it was granted.
    ProtocolViolation,
    /// The answer cannot be streamed to its caller, and there is no memory to collect it.
    NoMemory,
    DeadlineExceeded,
  };
  static const char* nameOf(AttemptFailure failure);

  struct CallState {
    std::shared_ptr<wire::ForwardRequestT> request;
    mesh::RoutePointer route;
    /// Revision of the configuration that the route comes from.
    std::uint64_t revision = 0;
    TimePoint started_at;
    TimePoint deadline;
    /// When the caller stops waiting; later than `deadline` if the route's timeout is shorter.
    TimePoint caller_deadline;
    /// Endpoints that the request was sent to.
    std::set<runtime::Address> tried_endpoints;
    /// Attempts that reached a target, or may have.
    unsigned attempts = 0;
    unsigned refusals = 0;
    bool may_have_run = false;
    /// Endpoint of the attempt in flight, if any.
    std::optional<runtime::Address> endpoint;
    /// Number of the latest attempt, unique within this sidecar.
    std::uint64_t attempt_number = 0;
    TimePoint sent_at;
    /// Estimated size of the attempt's request and answer bodies.
    std::size_t expected_bytes = 0;
    /// The body was announced to the endpoint and is sent as the endpoint grants it.
    bool announced = false;
    /// Bytes of an announced body that were sent in this attempt.
    std::size_t body_sent = 0;
    Duration retry_after = Duration::zero();
    /// The token taken from the tenant's quota; none until it is taken, or if the tenant has no limit.
    std::optional<QuotaToken> token;
    /// Until when the request waits for a token; none if it does not wait.
    std::optional<TimePoint> quota_deadline;
    bool accepts_streaming = false;
    /// A part of the answer was streamed to the caller, so the request must not be retried.
    bool is_streamed = false;
    std::size_t streamed_bytes = 0;
    AttemptFailure failure = AttemptFailure::None;
  };

  /// @return true if a planned stop is likely to end before the request's answer and before its deadline.
  bool outlastsStop(const mesh::RoutePointer& route, TimePoint deadline, TimePoint now) const;
  void refuse(CallId id, CallOutcome outcome, TimePoint now);
  /// @return the tenant that holds the call's key; nullptr if there is none.
  mesh::TenantPointer tenantOf(const Call& call) const;
  void refuseKey(CallId id, const Call& call, const wire::MeshRouteT& route, TimePoint now);
  /// Sends the request once it has a token of its tenant's quota.
  void sendWithinQuota(CallId id, TimePoint now);
  void applyQuotaDecision(CallId id, const TenantQuota::Decision& decision, TimePoint now);
  /// Ends the request's wait for a token.
  void removeQuotaWait(CallId id, CallState& call);
  void expireQuotaWaits(TimePoint now);
  void releaseToken(const CallState& call, bool ran, TimePoint now);
  /// @return the retry delay for callers that are refused during a planned stop.
  Duration retryAfterStop(TimePoint now) const;
  void sendNext(CallId id, TimePoint now);
  void send(CallId id, CallState& call, Endpoint& endpoint, TimePoint now);
  bool needsAnnouncement(const CallState& call, const Endpoint& endpoint) const;
  wire::ForwardRequestT requestFor(CallState& call, const Endpoint& endpoint, TimePoint now) const;
  void prepareAttempt(wire::ForwardRequestT& request, const CallState& call, const Endpoint& endpoint,
                      TimePoint now) const;
  /// @return true if the whole request was sent to the endpoint, so that it may run.
  static bool isFullySent(const CallState& call);
  /// Ends the attempt in flight with the endpoint's final reply.
  void finishAttempt(CallId id, const wire::ForwardReplyT& reply, TimePoint now);
  void streamAnswer(CallId id, CallState& call);
  void onAnswerAborted(CallId id, CallState& call, AttemptFailure failure, TimePoint now);
  void sendAnswerGrant(std::uint64_t attempt_number, const wire::BodyGrantT& grant);
  void onRefused(CallId id, CallState& call, const wire::ForwardReplyT& reply, TimePoint now);
  void onFailed(CallId id, CallState& call, TimePoint now);
  void cancelAttempt(CallState& call, TimePoint now);
  void logEnd(const CallState& call, const CallAnswer& answer, TimePoint now) const;
  static std::string formatTriedEndpoints(const CallState& call);
  void finish(CallId id, CallAnswer answer, TimePoint now);
  /// Removes the request from all indexes, and from those that wait for a token.
  void removeCall(CallId id);
  void finishNotRun(CallId id, TimePoint now);
  /// Ends a quarantined request without another attempt, because requests like it have crashed targets.
  void finishQuarantined(CallId id, TimePoint now);
  EndpointCriteria criteriaOf(const CallState& call) const;
  /// @return the only regions that may serve the request by the latest configuration, if that is newer than
  /// the one the request started with; empty if all regions may.
  std::vector<std::string> newerRegionsOf(const CallState& call) const;
  /// @return the route's name if the endpoint's sidecar has to check the route, else an empty string.
  std::string routeNameFor(const CallState& call, const Endpoint& endpoint) const;
  /// @return the round-trip time to the endpoint if it is in another region, else zero.
  Duration crossRegionRoundTrip(const Endpoint* endpoint, TimePoint now) const;
  /// Reports the size and duration of an ended attempt to the accounting of region links.
  void noteTransfer(const CallState& call, const Endpoint& endpoint, const wire::ForwardReplyT& reply,
                    TimePoint now);
  /// Stops sending a body to an endpoint whose region is no longer allowed; the request is sent to
  /// another endpoint or answered as not run.
  void abortUpload(CallId id, CallState& call, TimePoint now);
  /// @return the endpoint for the next attempt; nullptr if there is none.
  Endpoint* chooseFor(const CallState& call, TimePoint now);
  /// @return how long the next endpoint may queue the request.
  Duration remainingQueueTime(const CallState& call, TimePoint now) const;
  /// @return how long all endpoints together may queue the request.
  Duration queueTimeLimit(const CallState& call) const;
  static wire::ForwardReplyT incompleteUploadReply();
  /// @return false if there have been requests of a more urgent priority for the same service.
  bool isUrgent(const CallState& call) const;
  Duration drawRetryAfter(const CallState& call, TimePoint now);

  Parts parts_;
  RetryBudget budget_;
  /// The most urgent priority (the lowest number) seen among each service's requests.
  std::map<std::string, unsigned> most_urgent_;
  RefusalShare refusals_;
  ResponseEstimator forecast_;
  ResponseIntake answers_;
  CallMetrics metrics_;
  mesh::RouteTablePointer table_;
  std::map<CallId, CallState> calls_;
  /// Requests by the number of their attempt in flight.
  std::map<std::uint64_t, CallId> calls_by_attempt_;
  std::set<std::pair<TimePoint, CallId>> deadlines_;
  /// Requests that wait for a token of their tenant, by the time at which the wait expires.
  std::set<std::pair<TimePoint, CallId>> quota_waits_;
  std::uint64_t next_attempt_number_ = 1;
  std::optional<TimePoint> stop_began_;
  bool refuses_all_ = false;
};

}  // namespace cometstand::sidecar

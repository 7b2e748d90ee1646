#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "mesh/route_table.h"
#include "runtime/action_queue.h"
#include "sidecar/answer_forecast.h"
#include "sidecar/answer_intake.h"
#include "sidecar/caller_port.h"
#include "sidecar/endpoint_directory.h"
#include "sidecar/metrics.h"
#include "sidecar/peer_links.h"
#include "sidecar/quarantine.h"
#include "sidecar/refusal_share.h"
#include "sidecar/retry_budget.h"
#include "sidecar/rollout_view.h"
#include "sidecar/target_gate.h"
#include "sidecar/tenant_quota.h"

namespace cometstand::sidecar {

/// The requests of this sidecar's callers, from arrival to their one answer: route, endpoint, attempts, time.
///
/// Invariants:
/// - A request that may not be repeated is never sent again once it may have run.
/// - NotRun is answered only if no sending may have run.
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
        answers_(parts.credit, [this](std::uint64_t sending, const wire::BodyGrantT& grant) {
          grantAnswer(sending, grant);
        }) {}

  void setRoutes(mesh::RouteTablePointer table) { table_ = std::move(table); }
  const mesh::RouteTablePointer& routes() const { return table_; }

  void begin(CallId id, Call call, TimePoint now);
  /// A planned stop began: what could not be answered before its end is refused.
  void beginStop(TimePoint now);
  /// A planned stop ends: whatever still comes is refused.
  void endStop() { stop_ends_ = true; }
  /// The caller took so many bytes of an answer that is passed on to it in parts.
  void onRead(CallId id, std::size_t bytes, TimePoint now);
  /// The caller is gone.
  void cancel(CallId id, TimePoint now);
  /// @param request_id as it was sent; `from` the endpoint's address.
  void onReply(const runtime::Address& from, std::uint64_t request_id, const wire::ForwardReplyT& reply,
               TimePoint now);
  /// So many sidecars are known.
  void setSidecars(std::size_t sidecars) { budget_.setSidecars(sidecars); }
  /// The endpoint is ready to receive so many more bytes of an announced body.
  void onGrant(const runtime::Address& from, std::uint64_t request_id, std::size_t bytes, TimePoint now);
  /// The next bytes of an answer whose body follows.
  void onAnswerPart(const runtime::Address& from, std::uint64_t request_id, const wire::BodyPartT& part,
                    TimePoint now);
  /// The endpoint leaves: what it still has to send is granted as fast as it can come, as its sidecar may
  /// stop.
  void onEndpointLeaves(const runtime::Address& address, TimePoint now);
  /// The link to the endpoint ended: what was sent over it may have run.
  void onPeerLost(const runtime::Address& address, TimePoint now);
  /// Tokens may have come for requests that wait for one.
  void onQuota(TimePoint now);
  void onTimer(TimePoint now);
  TimePoint nextTimer() const;
  std::size_t inFlight() const { return calls_.size(); }
  /// @return large answers that have begun to come.
  std::size_t answersArriving() const { return answers_.size(); }
  const CallMetrics& metrics() const { return metrics_; }

 private:
  /// Why the newest sending of a request brought no whole answer.
  enum class SendingFailure : std::uint8_t {
    None,
    /// The endpoint said so, or that the rest of its answer will not come.
    EndpointSaidSo,
    /// The link to the endpoint ended.
    LinkLost,
    /// The endpoint answered twice, or sent more than it was granted.
    Unsound,
    OutOfTime,
  };
  static const char* nameOf(SendingFailure failure);

  struct CallState {
    std::shared_ptr<wire::ForwardRequestT> request;
    mesh::RoutePointer route;
    /// Of the configuration that the route is from.
    std::uint64_t revision = 0;
    TimePoint began;
    TimePoint deadline;
    /// When the caller gives up; later than the deadline if the route allows less time.
    TimePoint caller_leaves;
    /// Endpoints that were asked.
    std::set<runtime::Address> tried;
    /// Sendings that reached a target, or may have.
    unsigned sendings = 0;
    unsigned refusals = 0;
    bool may_have_run = false;
    /// Where the request is now, and under which number it was sent.
    std::optional<runtime::Address> at;
    std::uint64_t sent_as = 0;
    TimePoint sent_at;
    /// Bytes that the sending was expected to move.
    std::size_t expected_bytes = 0;
    /// The body was announced to the endpoint, which got so much of it.
    bool announced = false;
    std::size_t body_sent = 0;
    Duration retry_after = Duration::zero();
    /// Of the tenant's limit, once it is taken; none if it has no limit.
    std::optional<QuotaToken> token;
    /// Until when the request waits for it.
    std::optional<TimePoint> quota_deadline;
    bool takes_parts = false;
    /// Some of the answer has gone to the caller: no other endpoint may be asked.
    bool is_passed_on = false;
    std::size_t passed_bytes = 0;
    SendingFailure failure = SendingFailure::None;
  };

  /// @return true if a planned stop would end before the request has its answer and its time is up.
  bool endsTooLate(const mesh::RoutePointer& route, TimePoint deadline, TimePoint now) const;
  void refuse(CallId id, CallOutcome outcome, TimePoint now);
  /// @return the tenant on whose behalf the call comes; nullptr if it is nobody's.
  mesh::TenantPointer tenantOf(const Call& call) const;
  void refuseKey(CallId id, const Call& call, const wire::MeshRouteT& route, TimePoint now);
  /// Sends the request once its tenant's limit allows it.
  void sendWithinQuota(CallId id, TimePoint now);
  void carryOut(CallId id, const TenantQuota::Decision& decision, TimePoint now);
  /// The request waits for a token no longer.
  void endQuotaWait(CallId id, CallState& call);
  void giveUpQuotaWaits(TimePoint now);
  void settleToken(const CallState& call, bool ran, TimePoint now);
  /// @return when to come back to this sidecar while it stops.
  Duration afterStop(TimePoint now) const;
  void sendNext(CallId id, TimePoint now);
  void send(CallId id, CallState& call, Endpoint& endpoint, TimePoint now);
  bool announces(const CallState& call, const Endpoint& endpoint) const;
  wire::ForwardRequestT requestFor(CallState& call, const Endpoint& endpoint, TimePoint now) const;
  /// @return true if the endpoint got all of the request, so that it may run.
  static bool isWhollySent(const CallState& call);
  /// The endpoint has said its last word on the sending.
  void conclude(CallId id, const wire::ForwardReplyT& reply, TimePoint now);
  void passOn(CallId id, CallState& call);
  void onAnswerBroken(CallId id, CallState& call, SendingFailure failure, TimePoint now);
  void grantAnswer(std::uint64_t sending, const wire::BodyGrantT& grant);
  void onRefused(CallId id, CallState& call, const wire::ForwardReplyT& reply, TimePoint now);
  void onFailed(CallId id, CallState& call, TimePoint now);
  void recall(CallState& call, TimePoint now);
  void logEnd(const CallState& call, const CallAnswer& answer, TimePoint now) const;
  static std::string describeTried(const CallState& call);
  void finish(CallId id, CallAnswer answer, TimePoint now);
  void finishNotRun(CallId id, TimePoint now);
  /// The request ends targets, so that no other endpoint is asked.
  void finishQuarantined(CallId id, TimePoint now);
  EndpointWant wantOf(const CallState& call) const;
  /// The only regions that may serve the request by the newest configuration, if that is newer than the
  /// request; empty for all.
  std::vector<std::string> newerRegionsOf(const CallState& call) const;
  /// @return the name of the route if the endpoint's node has to know it, else an empty one.
  std::string routeNameFor(const CallState& call, const Endpoint& endpoint) const;
  /// @return time to the endpoint and back if it is in another region, else zero.
  Duration wayTo(const Endpoint* endpoint, TimePoint now) const;
  /// Tells the links between regions what came of a sending.
  void noteTransfer(const CallState& call, const Endpoint& endpoint, const wire::ForwardReplyT& reply,
                    TimePoint now);
  /// The endpoint must not get the rest of the body: the request goes elsewhere, or has not run.
  void withdrawBody(CallId id, CallState& call, TimePoint now);
  /// @return the endpoint that gets the next sending; nullptr if there is none.
  Endpoint* chooseFor(const CallState& call, TimePoint now);
  Duration patienceOf(const CallState& call, TimePoint now) const;
  Duration patienceShare(const CallState& call) const;
  static wire::ForwardReplyT lostBeforeWhole();
  /// @return true unless more urgent requests come for the same service.
  bool isUrgent(const CallState& call) const;
  Duration comeBackAfter(const CallState& call, TimePoint now);

  Parts parts_;
  RetryBudget budget_;
  /// The most urgent priority of each service's requests.
  std::map<std::string, unsigned> most_urgent_;
  RefusalShare refusals_;
  AnswerForecast forecast_;
  AnswerIntake answers_;
  CallMetrics metrics_;
  mesh::RouteTablePointer table_;
  std::map<CallId, CallState> calls_;
  std::map<std::uint64_t, CallId> sent_;
  std::set<std::pair<TimePoint, CallId>> deadlines_;
  /// Requests that wait for a token of their tenant, by when they are given up.
  std::set<std::pair<TimePoint, CallId>> quota_waits_;
  std::uint64_t next_sending_ = 1;
  std::optional<TimePoint> stop_began_;
  bool stop_ends_ = false;
};

}  // namespace cometstand::sidecar

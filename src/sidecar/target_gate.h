#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "mesh/route_table.h"
#include "overload/memory_budget.h"
#include "sidecar/cold_start_tracker.h"
#include "sidecar/gate_requester.h"
#include "sidecar/metrics.h"
#include "sidecar/offered_load.h"
#include "sidecar/quarantine.h"
#include "sidecar/run_samples.h"
#include "sidecar/sidecar_options.h"
#include "sidecar/target_limit.h"
#include "sidecar/target_port.h"
#include "sidecar/target_state.h"
#include "sidecar/target_watch.h"

namespace cometstand::sidecar {

/// Admits requests to the target of this sidecar and queues them. All requests for the target pass through
/// this gate, so it knows the target's full load: it refuses at once what cannot be run in time, serves the
/// more urgent requests first, and sends none to a target that is shutting down.
///
/// Invariants: never more requests in flight at the target than it has slots; NotRun is answered only if the
/// target did not receive the request or reported that it did not run it.
class TargetGate {
 public:
  /// How long after a request's deadline the gate still waits for the target's own result.
  static constexpr Duration kAnswerGrace = std::chrono::milliseconds(30);

  using Answer = std::function<void(const GateRequester&, wire::ForwardReplyT)>;

  /// @param port and quarantine must outlive the gate.
  TargetGate(const SidecarOptions& options, TargetPort& port, Quarantine& quarantine, Answer answer)
      : options_(options),
        port_(port),
        quarantine_(quarantine),
        answer_(std::move(answer)),
        cold_limit_(coldBounds(options)),
        watch_(port, [this] { return runsAtTarget(); }) {}

  /// Refuses requests while the budget is exceeded: their answers would be held as well.
  /// @param budget must outlive the gate.
  void limitMemory(const overload::MemoryBudget& budget) { memory_ = &budget; }
  TargetState& target() { return target_; }
  const TargetState& target() const { return target_; }

  void admit(const GateRequester& requester, ForwardRequestPointer request, TimePoint now);
  /// Refuses the request if admit() would refuse it at once.
  /// @return true if it was refused.
  bool refuseNow(const GateRequester& requester, const wire::ForwardRequestT& request, TimePoint now);
  /// Answers NotRun: the request has not run and will not.
  /// @param min_wait lower bound of the retry delay, for limits other than the slots.
  void refuse(const GateRequester& requester, const wire::ForwardRequestT& request, wire::NotRunReason reason,
              TimePoint now, Duration min_wait = Duration::zero());
  /// @return true if new requests are refused because the target or this sidecar is shutting down.
  bool isLeaving(TimePoint now) const;
  void cancel(const GateRequester& requester, TimePoint now);
  /// Cancels all requests that were received over the link.
  void cancelLink(runtime::LinkId link, TimePoint now);
  void onResult(RunId id, RunResult result, TimePoint now);
  /// @return the incarnation for which the request in progress was sent; nothing if it is not known.
  std::optional<mesh::Incarnation> incarnationOf(RunId id) const;
  void onProbed(ProbeOutcome outcome, TimePoint now);
  /// Sets the cold-start limits of the service from the current configuration.
  void setColdStart(const mesh::ColdStart& start, TimePoint now);
  void onHeartbeat(const Heartbeat& beat, TimePoint now);
  /// Handles the response to a health check of the target.
  void onHealth(const TargetHealth& health, TimePoint now);
  /// Treats the target as cold, because it may have restarted unnoticed: until a health check shows
  /// otherwise, it gets no more requests than a cold target can handle.
  /// @param cause is logged.
  void presumeCold(const char* cause, TimePoint now);
  /// @return the known or presumed time until the target is warm; zero if it is, or if the service has no
  /// limit for cold targets.
  Duration coldTime(TimePoint now) const;
  /// @return the time until the target is warm as the target itself reported it, without the time for which
  /// it is only presumed cold.
  Duration reportedColdTime(TimePoint now) const;
  /// Starts a health check if one is due. The caller sends the request.
  /// @return true if it is due; it then counts as sent.
  bool startHealthCheckIfDue(TimePoint now);
  /// Stops new requests because of the target's version, or allows them again.
  void setVersionClosed(bool is_closed) { is_version_closed_ = is_closed; }
  /// Starts or ends the evacuation of the target's zone. During an evacuation new requests are passed on
  /// elsewhere, or refused once the grace period in which senders learn of it is over. Requests that already
  /// run continue.
  void setEvacuated(bool is_evacuated, TimePoint now);
  bool isEvacuated() const { return evacuated_since_.has_value(); }
  /// @return true if new requests are refused because of the target's version or zone, or because of a
  /// shutdown.
  bool isClosed(TimePoint now) const {
    return is_version_closed_ || refusesAsEvacuated(now) || isLeaving(now);
  }
  RunSamples& samples() { return samples_; }
  /// Sets the configuration: requests are refused whose route it does not serve in this region.
  void setRoutes(mesh::RouteTablePointer table) { routes_ = std::move(table); }
  /// To be called after any change of target().
  void onTargetChanged(TimePoint now);
  /// Refuses all requests until allowRequests() is called.
  void holdRequests() { is_held_ = true; }
  void allowRequests() { is_held_ = false; }
  bool isHeld() const { return is_held_; }
  /// Refuses new requests from that time on, because this sidecar shuts down.
  void closeAt(TimePoint time) { close_at_ = time; }
  /// @return the smoothed run time of a request at the target; zero before the first result.
  Duration meanRunTime() const { return Duration(static_cast<Duration::rep>(mean_run_time_)); }

  void onTimer(TimePoint now);
  TimePoint nextTimer() const;
  unsigned running() const { return static_cast<unsigned>(running_.size()); }
  const GateMetrics& metrics() const { return metrics_; }
  /// @return the rate limit that the target states.
  const TargetLimit& targetLimit() const { return target_limit_; }
  unsigned waiting() const { return static_cast<unsigned>(waiting_.size()); }

 private:
  /// Sorts the queue by urgency, then by the latest permitted start.
  struct QueueKey {
    unsigned priority = 0;
    TimePoint start_by;
    std::uint64_t number = 0;
    friend auto operator<=>(const QueueKey&, const QueueKey&) = default;  // NOLINT(modernize-use-nullptr)
  };
  struct QueuedRequest {
    GateRequester requester;
    ForwardRequestPointer request;
    TimePoint arrived_at;
    TimePoint deadline;
    /// The request is refused if it has no slot by this time.
    TimePoint start_by;
  };
  struct RunningRequest {
    GateRequester requester;
    ForwardRequestPointer request;
    TimePoint started;
    TimePoint deadline;
    /// The target was still cold when the run began.
    bool was_cold = false;
    /// The request yielded to others when it began; it counts as a yielding one until it ends.
    bool yields = false;
    /// The target that received the request.
    mesh::Incarnation incarnation;
  };

  bool refusesAsEvacuated(TimePoint now) const {
    return evacuated_since_ && now >= *evacuated_since_ + options_.leaving_grace;
  }
  /// @return true if the current configuration serves the request's route in this region, or does not name
  /// the route.
  bool isServedInRegion(const wire::ForwardRequestT& request) const;
  std::optional<wire::NotRunReason> refusalReason(const wire::ForwardRequestT& request, TimePoint now) const;
  /// @return true if less urgent requests with a much longer objective arrived recently.
  bool hasPrecedence(const wire::ForwardRequestT& request, TimePoint now) const;
  /// @return the longest time that a request which arrives now may wait for a slot.
  Duration maxQueueTime(const wire::ForwardRequestT& request, TimePoint now) const;
  /// @return the position in the queue of a request that arrives now.
  QueueKey queueKeyOf(const wire::ForwardRequestT& request, TimePoint now) const;
  /// @return the expected wait for a slot behind `ahead` queued requests.
  Duration estimateSlotWait(std::size_t ahead) const;
  bool isFullFor(const wire::ForwardRequestT& request, TimePoint now) const;
  /// @return true if the target is cold and has used up its limit for now.
  bool isColdLimited(TimePoint now) const;
  /// @return the expected wait behind `ahead` queued requests, for a slot and for the limit of a cold target.
  Duration estimateWait(std::size_t ahead, TimePoint now) const;
  static RateBounds coldBounds(const SidecarOptions& options);
  /// @return when queued requests may be sent to a limited target.
  TimePoint nextLimitTimer() const;
  /// @return when queued requests may be sent to a cold target, or when a health check is due.
  TimePoint nextColdTimer() const;
  /// @return the reason for refusing a request that would wait too long.
  wire::NotRunReason capacityRefusalReason(TimePoint now) const;
  unsigned slots() const;
  /// @return true if requests with a much shorter objective arrived recently.
  bool hasLongObjective(const wire::ForwardRequestT& request) const;
  /// @return true if requests with a much shorter objective and a higher urgency arrived recently.
  bool yields(const wire::ForwardRequestT& request) const;
  /// @return how many slots yielding requests may occupy together; the rest is reserved for the offered load
  /// of the others.
  unsigned slotsForYielding(TimePoint now) const;
  bool hasSlotFor(const wire::ForwardRequestT& request, TimePoint now) const;
  void recordObjective(const wire::ForwardRequestT& request, TimePoint now);
  void start(const GateRequester& requester, const ForwardRequestPointer& request, TimePoint deadline,
             TimePoint now);
  void startWaiting(TimePoint now);
  void recordOutcome(const RunningRequest& run, const wire::ForwardReplyT& reply, TimePoint now);
  /// Records a cancelled run as a lower bound of its run time: it would have taken longer than it had so far.
  void recordAbandoned(const RunningRequest& run, TimePoint now);
  void recordRunTime(const RunningRequest& run, TimePoint now);
  /// @param fault see RunResult::fault.
  void recordEnd(const RunningRequest& run, const wire::ForwardReplyT& reply, const std::string& fault,
                 TimePoint now);
  void reply(const GateRequester& requester, const wire::ForwardRequestT& request, wire::ForwardReplyT reply,
             TimePoint now);
  /// Adds what the target states to a reply.
  void addStatement(const GateRequester& requester, const wire::ForwardRequestT& request,
                    wire::ForwardReplyT& reply, TimePoint now);
  /// Applies what the sender knows about the target.
  void applyReportedStatement(const wire::ForwardRequestT& request, TimePoint now);
  /// Passes the result of a run to the crash detection and the quarantine.
  void reportToWatch(const RunningRequest& run, const RunResult& result, TimePoint now);
  void recordTargetEnd(const std::optional<TargetEnd>& end, TimePoint now);
  /// Applies what an incarnation of the target states in a response.
  /// @param started when the request of the response was sent to the target.
  /// @param request_id of that request; empty for a health check.
  void recordStatement(const TargetStatement& statement, const mesh::Incarnation& incarnation,
                       TimePoint started, const std::string& request_id, TimePoint now);
  static std::string formatLimit(const std::optional<double>& rate);
  /// @return time since the limit in force was last stated; 0 without a limit.
  std::int64_t limitAgeMilliseconds(TimePoint now) const;
  /// @param source of the limit in force: response or sender.
  void logLimitChange(const std::optional<double>& previous, const std::string& request_id,
                      const char* source) const;
  /// Applies what the target states in the response to a health check.
  void recordHealthStatement(const TargetStatement& statement, const mesh::Incarnation& incarnation,
                             TimePoint now);
  std::vector<TargetWatch::Run> runsAtTarget() const;

  const SidecarOptions& options_;
  const overload::MemoryBudget* memory_ = nullptr;
  TargetPort& port_;
  Quarantine& quarantine_;
  Answer answer_;
  TargetState target_;
  GateMetrics metrics_;
  std::map<QueueKey, QueuedRequest> waiting_;
  std::map<RunId, RunningRequest> running_;
  std::uint64_t next_number_ = 1;
  std::uint64_t next_run_ = 1;
  /// Smoothed run time of a request in microseconds.
  double mean_run_time_ = 0;
  /// Smoothed run time as a share of the request's objective; 0 before the first result.
  double relative_run_time_ = 0;
  /// Smoothed share of runs that ended without a complete answer.
  double failure_rate_ = 0;
  /// When a planned stop of this sidecar begins to refuse requests.
  TimePoint close_at_ = TimePoint::max();
  bool is_version_closed_ = false;
  bool is_held_ = false;
  /// When the evacuation of the target's zone began.
  std::optional<TimePoint> evacuated_since_;
  mesh::RouteTablePointer routes_;
  RunSamples samples_;
  /// The shortest recent objective in milliseconds; UINT32_MAX for none.
  std::uint32_t shortest_objective_ms_ = UINT32_MAX;
  unsigned shortest_priority_ = 0;
  TimePoint shortest_seen_at_;
  /// When the last request arrived that yields to others.
  std::optional<TimePoint> yielding_seen_at_;
  /// Offered load of the requests that do not yield to others.
  OfferedLoad non_yielding_load_;
  ColdStartTracker cold_start_;
  /// The incarnation that cold_start_ describes.
  mesh::Incarnation cold_start_incarnation_;
  RequestRateLimit cold_limit_;
  /// When the newest heartbeat arrived; unset once the target is presumed cold for lack of one.
  std::optional<TimePoint> last_heartbeat_at_;
  /// Time of the newest event.
  TimePoint now_;
  TargetWatch watch_;
  /// The incarnation that failure_rate_ describes.
  mesh::Incarnation failure_rate_incarnation_;
  TargetLimit target_limit_;
};

}  // namespace cometstand::sidecar

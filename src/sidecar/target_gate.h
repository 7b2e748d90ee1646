#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "mesh/route_table.h"
#include "sidecar/cold_rate_limit.h"
#include "sidecar/gate_asker.h"
#include "sidecar/metrics.h"
#include "sidecar/offered_load.h"
#include "sidecar/quarantine.h"
#include "sidecar/run_samples.h"
#include "sidecar/sidecar_options.h"
#include "sidecar/target_port.h"
#include "sidecar/target_state.h"
#include "sidecar/target_warmth.h"
#include "sidecar/target_watch.h"

namespace cometstand::sidecar {

/// Decides which requests the target beside this sidecar gets, and when. All requests for the target pass
/// here, so the gate knows exactly what the target has to do: it refuses at once what cannot be run in time,
/// lets the more urgent go first, and passes nothing to a target that leaves.
///
/// Invariants: never more requests at the target than its slots; NotRun is answered only if the target did
/// not get the request or said that it did not run it.
class TargetGate {
 public:
  /// How long after a request's deadline the target's own word on it is waited for.
  static constexpr Duration kAnswerGrace = std::chrono::milliseconds(30);

  using Answer = std::function<void(const GateAsker&, wire::ForwardReplyT)>;

  /// @param port and quarantine must outlive the gate.
  TargetGate(const SidecarOptions& options, TargetPort& port, Quarantine& quarantine, Answer answer)
      : options_(options),
        port_(port),
        quarantine_(quarantine),
        answer_(std::move(answer)),
        cold_limit_(options.cold_overshoot, options.cold_slack),
        watch_(port, [this] { return runsAtTarget(); }) {}

  TargetState& target() { return target_; }
  const TargetState& target() const { return target_; }

  void admit(const GateAsker& asker, ForwardRequestPointer request, TimePoint now);
  /// Refuses the request if admit() would refuse it at once. @return true if so.
  bool refuseNow(const GateAsker& asker, const wire::ForwardRequestT& request, TimePoint now);
  /// Answers that the request has not run and will not.
  /// @param least_wait when to come back at the earliest, if something else than the slots binds.
  void refuse(const GateAsker& asker, const wire::ForwardRequestT& request, wire::NotRunReason reason,
              TimePoint now, Duration least_wait = Duration::zero());
  /// @return true if new requests are refused since the target or this sidecar leaves.
  bool isLeaving(TimePoint now) const;
  void cancel(const GateAsker& asker, TimePoint now);
  /// All requests of one link are given up.
  void cancelLink(runtime::LinkId link, TimePoint now);
  void onResult(RunId id, RunResult result, TimePoint now);
  void onProbed(ProbeOutcome outcome, TimePoint now);
  /// How the targets of the service start, from the configuration in force.
  void setColdStart(const mesh::ColdStart& start, TimePoint now);
  /// A heartbeat of the target has come.
  void onHeartbeat(const Heartbeat& beat, TimePoint now);
  /// The target was asked for its health.
  void onHealth(const TargetHealth& health, TimePoint now);
  /// The target may have become cold unseen: it is asked, and gets no more than a cold one bears until then.
  void doubtWarmth(const char* cause, TimePoint now);
  /// @return time until the target is warm, as far as is known; zero if it is, or if cold ones have no bound.
  Duration coldTime(TimePoint now) const;
  /// @return the same as the target says itself: no doubt counts.
  Duration toldColdTime(TimePoint now) const;
  /// @return true if the target is to be asked for its health now; the question is noted.
  bool takeHealthQuestion(TimePoint now);
  /// The target gets no new requests from now on, or gets them again, because of its version.
  void setVersionClosed(bool is_closed) { is_version_closed_ = is_closed; }
  /// The target's zone is evacuated from now on, or in use again: then new requests are passed on, or refused
  /// after the time in which senders hear of it. What runs goes on.
  void setEvacuated(bool is_evacuated, TimePoint now);
  bool isEvacuated() const { return evacuated_since_.has_value(); }
  /// @return true if new requests are refused because of the target's version or zone, or since it leaves.
  bool isClosed(TimePoint now) const { return is_version_closed_ || refusesForZone(now) || isLeaving(now); }
  RunSamples& samples() { return samples_; }
  /// Requests are refused from now on whose route, by this configuration, is not served in this region.
  void setRoutes(mesh::RouteTablePointer table) { routes_ = std::move(table); }
  /// The target's state may have changed.
  void onTargetChanged(TimePoint now);
  /// New requests are refused from then on, as this sidecar stops.
  void closeAt(TimePoint time) { close_at_ = time; }
  /// @return the time that the target usually takes for a request; zero before the first.
  Duration usualRunTime() const { return Duration(static_cast<Duration::rep>(mean_run_time_)); }

  void onTimer(TimePoint now);
  TimePoint nextTimer() const;
  unsigned running() const { return static_cast<unsigned>(running_.size()); }
  const GateMetrics& metrics() const { return metrics_; }
  unsigned waiting() const { return static_cast<unsigned>(waiting_.size()); }

 private:
  /// The most urgent first, then the one that can wait the least.
  struct Place {
    unsigned priority = 0;
    TimePoint start_by;
    std::uint64_t number = 0;
    friend auto operator<=>(const Place&, const Place&) = default;  // NOLINT(modernize-use-nullptr)
  };
  struct Waiting {
    GateAsker asker;
    ForwardRequestPointer request;
    TimePoint came;
    TimePoint deadline;
    /// The request is refused if it has no slot by then.
    TimePoint start_by;
  };
  struct Running {
    GateAsker asker;
    ForwardRequestPointer request;
    TimePoint started;
    TimePoint deadline;
    /// The target was slow from its start when the run began.
    bool was_cold = false;
    /// It yielded when it began, and counts among those that do until it ends.
    bool yields = false;
    /// Of the target that got it.
    mesh::Incarnation incarnation;
  };

  bool refusesForZone(TimePoint now) const {
    return evacuated_since_ && now >= *evacuated_since_ + options_.leaving_grace;
  }
  /// @return true if the newest configuration lets the request's route be served in this region, as far as
  /// the route is named.
  bool isServedHere(const wire::ForwardRequestT& request) const;
  std::optional<wire::NotRunReason> refusalOf(const wire::ForwardRequestT& request, TimePoint now) const;
  /// @return true if requests came lately that yield to such a one.
  bool isYieldedTo(const wire::ForwardRequestT& request, TimePoint now) const;
  /// @return how long a request that comes now may wait for a slot.
  Duration patienceFor(const wire::ForwardRequestT& request, TimePoint now) const;
  /// @return where a request that comes now would wait.
  Place placeOf(const wire::ForwardRequestT& request, TimePoint now) const;
  /// @return the expected wait of a request behind so many others that wait.
  Duration expectedWait(std::size_t ahead) const;
  bool isFullFor(const wire::ForwardRequestT& request, TimePoint now) const;
  /// @return true if the target is cold and gets what it bears.
  bool isColdLimited(TimePoint now) const;
  /// @return the least time until a request behind so many others may go to the target.
  Duration waitFor(std::size_t ahead, TimePoint now) const;
  /// @return when cold requests that wait may go on, or the target is to be asked.
  TimePoint nextColdTimer() const;
  /// @return why a request is refused that cannot wait for its turn.
  wire::NotRunReason reasonForFull(TimePoint now) const;
  unsigned slots() const;
  /// @return true if requests come that have a much shorter objective.
  bool isLong(const wire::ForwardRequestT& request) const;
  /// @return true if requests come that have a much shorter objective and are more urgent.
  bool yields(const wire::ForwardRequestT& request) const;
  /// @return slots that requests which yield may take together: the others' offered load is kept for them.
  unsigned slotsForYielding(TimePoint now) const;
  bool hasSlotFor(const wire::ForwardRequestT& request, TimePoint now) const;
  void noteObjective(const wire::ForwardRequestT& request, TimePoint now);
  void start(const GateAsker& asker, const ForwardRequestPointer& request, TimePoint deadline, TimePoint now);
  void startWaiting(TimePoint now);
  void noteOutcome(const Running& run, const wire::ForwardReplyT& reply, TimePoint now);
  /// A run was given up: it would have taken longer than it had so far.
  void noteGivenUp(const Running& run, TimePoint now);
  void noteRunTime(const Running& run, TimePoint now);
  void noteEnd(const Running& run, const wire::ForwardReplyT& reply, TimePoint now);
  void reply(const GateAsker& asker, wire::ForwardReplyT reply, TimePoint now);
  /// Tells the watch over the target what came of a run.
  void watchResult(const Running& run, const RunResult& result, TimePoint now);
  void noteEndOfTarget(const std::optional<TargetEnd>& end, TimePoint now);
  std::vector<TargetWatch::Run> runsAtTarget() const;

  const SidecarOptions& options_;
  TargetPort& port_;
  Quarantine& quarantine_;
  Answer answer_;
  TargetState target_;
  GateMetrics metrics_;
  std::map<Place, Waiting> waiting_;
  std::map<RunId, Running> running_;
  std::uint64_t next_number_ = 1;
  std::uint64_t next_run_ = 1;
  /// Smoothed time that the target takes for a request, in microseconds.
  double mean_run_time_ = 0;
  /// Smoothed time that the target takes for a request as a share of the request's objective; 0 before the
  /// first.
  double relative_run_time_ = 0;
  /// Smoothed share of runs that ended without a whole answer.
  double failure_rate_ = 0;
  /// Of a planned stop of this sidecar.
  TimePoint close_at_ = TimePoint::max();
  bool is_version_closed_ = false;
  /// Of the target's zone.
  std::optional<TimePoint> evacuated_since_;
  mesh::RouteTablePointer routes_;
  RunSamples samples_;
  /// The shortest objective that came lately, in milliseconds; a large number for none.
  std::uint32_t shortest_objective_ms_ = UINT32_MAX;
  unsigned shortest_priority_ = 0;
  TimePoint shortest_seen_at_;
  /// When a request came last that yields to others.
  std::optional<TimePoint> yielding_seen_at_;
  /// Of the requests that do not yield to others.
  OfferedLoad short_load_;
  TargetWarmth warmth_;
  /// The target that warmth_ is of.
  mesh::Incarnation warmth_of_;
  ColdRateLimit cold_limit_;
  /// Of the newest heartbeat; none from the doubt for the lack of one on.
  std::optional<TimePoint> beaten_at_;
  /// Of the newest event.
  TimePoint now_;
  TargetWatch watch_;
  /// The target that failure_rate_ is of.
  mesh::Incarnation rated_;
};

}  // namespace cometstand::sidecar

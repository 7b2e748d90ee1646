#pragma once

#include <map>
#include <optional>
#include <string>

#include "store/node_hub.h"
#include "store/rollout_clock.h"
#include "store/rollout_reports.h"
#include "store/store_context.h"

namespace cometstand::store {

/// Decides the steps of roll-outs on the leader: when a new version receives its share of requests, whether
/// it is promoted or rolled back, and when that has taken effect on all nodes. Every step is proposed to the
/// log before it takes effect.
///
/// Guarantees, all timed by steady clocks:
/// - Until a version is promoted, its targets receive at most the step's share of the requests, and less once
///   the requests counted since the order approach the bound set by operators.
/// - A sidecar that receives no roll-out update for the duration of its lease (see sidecar::RolloutView)
///   sends no requests to the new version, so a rollback is in effect everywhere kVersionCloseTime after its
///   step.
/// - A roll-out succeeds only once each target of another version has reported, after the promotion step,
///   that it is closed and idle. If the link of a target's node was lost instead, the target counts as busy
///   for the longest time that a request of the service may run (longestRouteTimeout()), because its sidecar
///   may be partitioned and keeps its requests until their deadlines. A replica that has just started knows
///   no targets, so it waits until nodes have connected to it, and then for that time. If this takes longer
///   than the duration of the roll-out, the version is rolled back.
class RolloutController {
 public:
  /// @param clock, nodes must outlive the controller.
  RolloutController(StoreContext& context, const RolloutClock& clock, const NodeHub& nodes)
      : context_(context), clock_(clock), nodes_(nodes) {}

  /// @param link link of the reporting node.
  void onReport(runtime::LinkId link, const wire::RolloutReportT& report, TimePoint now);
  void onTimer(TimePoint now);
  TimePoint nextTimer() const;

 private:
  /// State that this leader keeps for one roll-out in addition to its record.
  struct RolloutTracker {
    std::uint64_t number = 0;
    RolloutReports reports;
    /// Number of targets of the new version, and the time at which it last changed.
    std::size_t targets = 0;
    TimePoint targets_changed_at;
    /// Step of the record, and the time at which this replica first saw it.
    std::uint32_t step = 0;
    TimePoint step_since;
    /// Time of the latest proposal of a step, which may still be uncommitted.
    TimePoint proposed_at;
  };

  RolloutTracker& trackerOf(const wire::RolloutRecordT& record, TimePoint now);
  void decide(const wire::RolloutRecordT& record, RolloutTracker& tracker, TimePoint now);
  void decideCanary(const wire::RolloutRecordT& record, RolloutTracker& tracker, TimePoint now);
  void decidePromoting(const wire::RolloutRecordT& record, RolloutTracker& tracker, TimePoint now);
  void decideRollingBack(const wire::RolloutRecordT& record, RolloutTracker& tracker, TimePoint now);
  std::uint32_t canaryShareFor(const wire::RolloutRecordT& record, RolloutTracker& tracker,
                               TimePoint now) const;
  bool isReady(const wire::RolloutRecordT& record, RolloutTracker& tracker, TimePoint now) const;
  bool canServeAllRequests(const wire::RolloutRecordT& record, const RolloutTracker& tracker,
                           TimePoint now) const;
  /// @return the number of targets of the new version, or of all others, that have not confirmed the step.
  std::size_t countUnconfirmedTargets(const wire::RolloutRecordT& record, const RolloutTracker& tracker,
                                      bool of_others, TimePoint now) const;
  /// @return the number of lost targets of other versions that may still run requests.
  std::size_t countLostBusyTargets(const wire::RolloutRecordT& record, const RolloutTracker& tracker,
                                   TimePoint now) const;
  /// @return the longest timeout of the routes to the service in the configuration that this replica has.
  Duration longestRouteTimeout(const std::string& service) const;
  /// @return true if every target that may run requests of the service is known to this replica or can no
  /// longer run any.
  bool knowsAllTargets(const std::string& service, TimePoint now) const;
  RolloutJudgement judgementOf(const wire::RolloutRecordT& record, const RolloutTracker& tracker) const;
  void proposeStep(const wire::RolloutRecordT& record, RolloutTracker& tracker, wire::RolloutPhase phase,
                   std::uint32_t share, const std::string& reason, TimePoint now);

  StoreContext& context_;
  const RolloutClock& clock_;
  const NodeHub& nodes_;
  /// Trackers by service.
  std::map<std::string, RolloutTracker> trackers_;
  TimePoint next_check_at_;
  /// Time at which the timer of this replica first fired.
  std::optional<TimePoint> started_at_;
};

}  // namespace cometstand::store

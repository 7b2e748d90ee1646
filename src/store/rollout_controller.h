#pragma once

#include <map>
#include <optional>
#include <string>

#include "store/node_hub.h"
#include "store/rollout_clock.h"
#include "store/rollout_reports.h"
#include "store/store_context.h"

namespace cometstand::store {

/// Decides the steps of roll-outs, on the leader: when a new version gets its share, whether it is promoted
/// or rolled back, and when that has taken effect everywhere. Every step goes through the log first.
///
/// Bounds, all by steady clocks:
/// - Until a version is promoted its targets get at most the step's share of the requests, and less once the
///   counted requests come near operators' bound on all since the order.
/// - A sidecar that hears of no roll-out for its lease (see sidecar::RolloutView) sends nothing to the new
///   version, so a rollback holds everywhere kCloseTime after its step.
/// - Succeeded is said only when each target of an older version has reported, after that step, that it is
///   closed and idle. One whose node's link ended instead counts as busy for as long as a request of the
///   service may run (longestRun()): its sidecar may be cut off and keeps what it has until its deadline. A
///   replica that has just started knows no target, so it waits until nodes have linked themselves to it, and
///   then as long. If that takes longer than the roll-out may, it is taken back.
class RolloutController {
 public:
  /// @param clock, nodes must outlive the controller.
  RolloutController(StoreContext& context, const RolloutClock& clock, const NodeHub& nodes)
      : context_(context), clock_(clock), nodes_(nodes) {}

  /// @param link of the node that reports.
  void onReport(runtime::LinkId link, const wire::RolloutReportT& report, TimePoint now);
  void onTimer(TimePoint now);
  TimePoint nextTimer() const;

 private:
  /// What this leader knows of one roll-out beside its record.
  struct Watch {
    std::uint64_t number = 0;
    RolloutReports reports;
    /// When targets of the new version were first and last seen to come.
    std::size_t targets = 0;
    TimePoint targets_changed_at;
    /// The record's step, and since when it is known here.
    std::uint32_t step = 0;
    TimePoint step_since;
    /// A step was proposed then, and may be on its way.
    TimePoint proposed_at;
  };

  Watch& watchOf(const wire::RolloutRecordT& record, TimePoint now);
  void decide(const wire::RolloutRecordT& record, Watch& watch, TimePoint now);
  void decideCanary(const wire::RolloutRecordT& record, Watch& watch, TimePoint now);
  void decidePromoting(const wire::RolloutRecordT& record, Watch& watch, TimePoint now);
  void decideRollingBack(const wire::RolloutRecordT& record, Watch& watch, TimePoint now);
  std::uint32_t shareFor(const wire::RolloutRecordT& record, Watch& watch, TimePoint now) const;
  bool isReady(const wire::RolloutRecordT& record, Watch& watch, TimePoint now) const;
  bool canCarryAll(const wire::RolloutRecordT& record, const Watch& watch, TimePoint now) const;
  /// @return the targets of the new version, or of all others, that have not confirmed the step.
  std::size_t unconfirmed(const wire::RolloutRecordT& record, const Watch& watch, bool of_others,
                          TimePoint now) const;
  /// @return the lost targets of other versions that may still run requests.
  std::size_t lostAndBusy(const wire::RolloutRecordT& record, const Watch& watch, TimePoint now) const;
  /// @return the longest timeout of the routes that lead to the service, by the configuration that this
  /// replica has.
  Duration longestRun(const std::string& service) const;
  /// @return true if every target that may run requests of the service is known here, or can run none any
  /// more.
  bool knowsAllTargets(const std::string& service, TimePoint now) const;
  RolloutJudgement judgementOf(const wire::RolloutRecordT& record, const Watch& watch) const;
  void step(const wire::RolloutRecordT& record, Watch& watch, wire::RolloutPhase phase, std::uint32_t share,
            const std::string& reason, TimePoint now);

  StoreContext& context_;
  const RolloutClock& clock_;
  const NodeHub& nodes_;
  /// By service.
  std::map<std::string, Watch> watches_;
  TimePoint check_at_;
  /// When this replica first ran a timer.
  std::optional<TimePoint> started_at_;
};

}  // namespace cometstand::store

#include "store/rollout_controller.h"

#include <fmt/format.h>

#include <algorithm>

#include "base/event_log.h"
#include "mesh/configuration.h"
#include "store/events.h"

namespace cometstand::store {
namespace {

using Phase = wire::RolloutPhase;

constexpr Duration kCheckInterval = std::chrono::milliseconds(100);
/// Time after which a step that has not been applied from the log is proposed again.
constexpr Duration kProposalTimeout = std::chrono::milliseconds(500);
/// Interval at which steps record the elapsed time, which bounds how far a new leader's value may lag.
constexpr Duration kElapsedTimeStepInterval = std::chrono::seconds(1);

/// Shares of the bound that operators set for requests to a version before its promotion. Senders route the
/// first share to the version at random; above the second share the version temporarily receives no requests.
/// The remainder is a margin for reports in transit and for random variation.
constexpr double kRoutedBoundShare = 0.6;
constexpr double kMaxBoundShare = 0.8;
/// Share of the slack of that bound above which the version temporarily receives no requests.
constexpr double kMaxSlackShare = 0.5;
constexpr double kPermillePerUnit = 1'000;

/// The targets of the new version are considered complete if their number has not changed for this time and
/// all of them are warm.
constexpr Duration kTargetSettleTime = std::chrono::milliseconds(500);
/// Share of the roll-out's duration after which the canary starts with the targets that are warm by then.
constexpr double kLatestCanaryStartShare = 0.4;
/// Time reserved at the end of a roll-out for old targets to finish their requests, and its largest share of
/// the duration. Most requests end within a few seconds.
constexpr Duration kMaxPromotionTime = std::chrono::seconds(5);
constexpr double kMaxPromotionTimeShare = 0.4;
/// A version without a good verdict is rolled back when less than this time, or than this share of the
/// duration, is left, whichever is shorter.
constexpr Duration kMinPromotionTime = std::chrono::milliseconds(2'500);
constexpr double kMinPromotionTimeShare = 0.3;
/// A promotion that is not complete this long before the end of the roll-out is rolled back.
constexpr Duration kPromotionEndMargin = std::chrono::milliseconds(300);
/// Minimum number of warm slots of the new version before promotion, as a share of the old versions' slots.
constexpr double kMinCapacityShare = 0.8;
/// Time after which no sidecar sends requests to a closed version: a sidecar's lease (1.5 s), plus the time
/// in which a follower detects the loss of its leader (0.6 s), plus a margin for network delays.
constexpr Duration kVersionCloseTime = std::chrono::milliseconds(2'500);

/// Time within which reachable nodes connect to a store that has started. They retry after at most 0.8 s
/// (sidecar::PeerLinks).
constexpr Duration kNodeLinkTime = std::chrono::seconds(2);

Duration shareOf(Duration whole, double share) { return std::chrono::duration_cast<Duration>(whole * share); }

Duration durationOf(const wire::RolloutRecordT& record) {
  return std::chrono::milliseconds(record.duration_ms);
}

/// @return the time since the order from which a version with a good verdict may be promoted.
Duration earliestPromotion(const wire::RolloutRecordT& record) {
  const Duration whole = durationOf(record);
  return whole - std::min(kMaxPromotionTime, shareOf(whole, kMaxPromotionTimeShare));
}

/// @return the time since the order after which a version that is not yet promoted is rolled back.
Duration latestPromotion(const wire::RolloutRecordT& record) {
  const Duration whole = durationOf(record);
  return whole - std::min(kMinPromotionTime, shareOf(whole, kMinPromotionTimeShare));
}

}  // namespace

RolloutController::RolloutTracker& RolloutController::trackerOf(const wire::RolloutRecordT& record,
                                                                TimePoint now) {
  auto& tracker = trackers_[record.service];
  if (tracker.number != record.number) {
    tracker = RolloutTracker();
    tracker.number = record.number;
    tracker.step_since = now;
  }
  if (tracker.step != record.step) {
    tracker.step = record.step;
    tracker.step_since = now;
    tracker.proposed_at = TimePoint();
  }
  return tracker;
}

void RolloutController::onReport(runtime::LinkId link, const wire::RolloutReportT& report, TimePoint now) {
  const auto record = context_.state.rollouts().find(report.service);
  const auto node = nodes_.nameOf(link);
  const bool is_wanted = record != nullptr && record->number == report.number && node;
  if (is_wanted) trackerOf(*record, now).reports.add(*node, report, now);
}

void RolloutController::onTimer(TimePoint now) {
  if (!started_at_) started_at_ = now;
  if (now < next_check_at_) return;
  next_check_at_ = now + kCheckInterval;
  if (!context_.isLeader()) {
    trackers_.clear();
    return;
  }
  for (const auto& [service, record] : context_.state.rollouts().all()) {
    if (isFinished(record->phase)) {
      trackers_.erase(service);
      continue;
    }
    auto& tracker = trackerOf(*record, now);
    if (now >= tracker.proposed_at + kProposalTimeout) decide(*record, tracker, now);
  }
}

TimePoint RolloutController::nextTimer() const {
  const auto& all = context_.state.rollouts().all();
  const bool is_any_in_progress =
      std::any_of(all.begin(), all.end(), [](const auto& item) { return !isFinished(item.second->phase); });
  return is_any_in_progress ? next_check_at_ : TimePoint::max();
}

void RolloutController::decide(const wire::RolloutRecordT& record, RolloutTracker& tracker, TimePoint now) {
  switch (record.phase) {
    case Phase::Canary:
      decideCanary(record, tracker, now);
      return;
    case Phase::Promoting:
      decidePromoting(record, tracker, now);
      return;
    case Phase::RollingBack:
      decideRollingBack(record, tracker, now);
      return;
    case Phase::Succeeded:
    case Phase::RolledBack:
      return;
  }
}

RolloutJudgement RolloutController::judgementOf(const wire::RolloutRecordT& record,
                                                const RolloutTracker& tracker) const {
  return judge(tracker.reports.samplesOf(record.version, false),
               tracker.reports.samplesOf(record.version, true));
}

bool RolloutController::isReady(const wire::RolloutRecordT& record, RolloutTracker& tracker,
                                TimePoint now) const {
  const auto capacity = tracker.reports.capacityOf(record.version, false, now);
  if (capacity.targets != tracker.targets) {
    tracker.targets = capacity.targets;
    tracker.targets_changed_at = now;
  }
  if (capacity.warm_slots == 0) return false;
  const bool is_complete = capacity.cold == 0 && now >= tracker.targets_changed_at + kTargetSettleTime;
  return is_complete ||
         clock_.elapsed(record.service, now) >= shareOf(durationOf(record), kLatestCanaryStartShare);
}

std::uint32_t RolloutController::canaryShareFor(const wire::RolloutRecordT& record, RolloutTracker& tracker,
                                                TimePoint now) const {
  if (!isReady(record, tracker, now)) return 0;
  const auto exposed = static_cast<double>(tracker.reports.begun(record.version));
  const auto all = static_cast<double>(tracker.reports.begun(std::nullopt));
  const auto& options = context_.options;
  const double max_exposed = kMaxSlackShare * static_cast<double>(options.rollout_exposure_slack) +
                             kMaxBoundShare * options.rollout_exposure_share * all;
  if (exposed > max_exposed) return 0;
  return static_cast<std::uint32_t>(kPermillePerUnit * kRoutedBoundShare * options.rollout_exposure_share);
}

bool RolloutController::canServeAllRequests(const wire::RolloutRecordT& record, const RolloutTracker& tracker,
                                            TimePoint now) const {
  const auto canary = tracker.reports.capacityOf(record.version, false, now);
  const auto stable = tracker.reports.capacityOf(record.version, true, now);
  return canary.warm_slots > 0 && canary.warm_slots >= kMinCapacityShare * stable.slots;
}

void RolloutController::decideCanary(const wire::RolloutRecordT& record, RolloutTracker& tracker,
                                     TimePoint now) {
  const auto judgement = judgementOf(record, tracker);
  const Duration elapsed = clock_.elapsed(record.service, now);
  if (judgement.verdict == RolloutVerdict::Bad) {
    proposeStep(record, tracker, Phase::RollingBack, 0, judgement.reason, now);
    return;
  }
  const bool can_serve_all = canServeAllRequests(record, tracker, now);
  const bool is_good = judgement.verdict == RolloutVerdict::Good && can_serve_all;
  if (is_good && elapsed >= earliestPromotion(record)) {
    proposeStep(record, tracker, Phase::Promoting, 0, judgement.reason, now);
    return;
  }
  if (elapsed >= latestPromotion(record)) {
    const std::string reason = can_serve_all ? judgement.reason : "too few warm targets of the new version";
    proposeStep(record, tracker, Phase::RollingBack, 0, "in doubt at the end: " + reason, now);
    return;
  }
  const auto share = canaryShareFor(record, tracker, now);
  const bool is_elapsed_time_due =
      elapsed >= std::chrono::milliseconds(record.elapsed_ms) + kElapsedTimeStepInterval;
  if (share != record.canary_permille || is_elapsed_time_due)
    proposeStep(record, tracker, Phase::Canary, share, "", now);
}

std::size_t RolloutController::countUnconfirmedTargets(const wire::RolloutRecordT& record,
                                                       const RolloutTracker& tracker, bool of_others,
                                                       TimePoint now) const {
  std::size_t count = 0;
  for (const auto& [node, endpoint] : nodes_.endpointsOf(record.service)) {
    if ((endpoint->version == record.version) == of_others) continue;
    // Old targets must be idle because they are stopped right after the last step. Targets of the new version
    // drain on their own.
    if (!tracker.reports.isClosed(node, endpoint->endpoint, record.step, of_others, now)) ++count;
  }
  return count;
}

std::size_t RolloutController::countLostBusyTargets(const wire::RolloutRecordT& record,
                                                    const RolloutTracker& tracker, TimePoint now) const {
  const auto& all = nodes_.lostEndpoints();
  if (all.empty()) return 0;
  const Duration longest = longestRouteTimeout(record.service);
  const auto count = std::count_if(all.begin(), all.end(), [&](const auto& item) {
    const auto& [node, lost] = item;
    const bool is_other = lost.record->service == record.service && lost.record->version != record.version;
    return is_other && now < lost.lost_at + longest &&
           !tracker.reports.wasClosedAndIdle(node, lost.record->endpoint, record.step);
  });
  return static_cast<std::size_t>(count);
}

Duration RolloutController::longestRouteTimeout(const std::string& service) const {
  const auto& bytes = context_.state.mesh().configuration();
  std::uint32_t longest = 0;
  if (bytes.empty()) return Duration::zero();
  for (const auto& route : mesh::decodeConfiguration(bytes).routes) {
    const bool leads_there = std::any_of(route->shares.begin(), route->shares.end(),
                                         [&service](const auto& share) { return share->service == service; });
    if (leads_there) longest = std::max(longest, route->timeout_ms);
  }
  return std::chrono::milliseconds(longest);
}

bool RolloutController::knowsAllTargets(const std::string& service, TimePoint now) const {
  return now >= *started_at_ + kNodeLinkTime + longestRouteTimeout(service);
}

void RolloutController::decidePromoting(const wire::RolloutRecordT& record, RolloutTracker& tracker,
                                        TimePoint now) {
  const auto judgement = judgementOf(record, tracker);
  if (judgement.verdict == RolloutVerdict::Bad) {
    proposeStep(record, tracker, Phase::RollingBack, 0, judgement.reason, now);
    return;
  }
  const auto busy =
      countUnconfirmedTargets(record, tracker, true, now) + countLostBusyTargets(record, tracker, now);
  const Duration elapsed = clock_.elapsed(record.service, now);
  if (busy == 0 && canServeAllRequests(record, tracker, now) && knowsAllTargets(record.service, now)) {
    proposeStep(record, tracker, Phase::Succeeded, 0, "no request is left at a target of another version",
                now);
  } else if (elapsed + kPromotionEndMargin >= durationOf(record)) {
    proposeStep(record, tracker, Phase::RollingBack, 0,
                fmt::format("{} old targets were not idle in time", busy), now);
  } else if (elapsed >= std::chrono::milliseconds(record.elapsed_ms) + kElapsedTimeStepInterval) {
    proposeStep(record, tracker, Phase::Promoting, 0, record.reason, now);
  }
}

void RolloutController::decideRollingBack(const wire::RolloutRecordT& record, RolloutTracker& tracker,
                                          TimePoint now) {
  const bool is_confirmed_everywhere = countUnconfirmedTargets(record, tracker, false, now) == 0;
  if (is_confirmed_everywhere || now >= tracker.step_since + kVersionCloseTime)
    proposeStep(record, tracker, Phase::RolledBack, 0, record.reason, now);
}

void RolloutController::proposeStep(const wire::RolloutRecordT& record, RolloutTracker& tracker, Phase phase,
                                    std::uint32_t share, const std::string& reason, TimePoint now) {
  wire::RolloutStepT step;
  step.service = record.service;
  step.number = record.number;
  step.phase = phase;
  step.canary_permille = share;
  step.elapsed_ms = static_cast<std::uint32_t>(ceilMilliseconds(clock_.elapsed(record.service, now)));
  step.replaced_versions = record.replaced_versions;
  if (phase == Phase::Promoting) {
    auto others = tracker.reports.otherVersions(record.version);
    // Targets of unknown version receive no requests during a roll-out and are open again afterwards.
    others.erase("");
    // A new leader may have received reports from only a few targets.
    others.insert(record.replaced_versions.begin(), record.replaced_versions.end());
    step.replaced_versions.assign(others.begin(), others.end());
  } else if (phase == Phase::RollingBack) {
    step.replaced_versions.clear();
  }
  step.reason = reason;
  logEvent(kRolloutStep, {{"service", record.service},
                          {"number", record.number},
                          {"version", record.version},
                          {"from", wire::EnumNameRolloutPhase(record.phase)},
                          {"to", wire::EnumNameRolloutPhase(phase)},
                          {"canary_permille", share},
                          {"elapsed_ms", step.elapsed_ms},
                          {"duration_ms", record.duration_ms},
                          {"begun_new", tracker.reports.begun(record.version)},
                          {"begun_all", tracker.reports.begun(std::nullopt)},
                          {"reason", reason}});
  tracker.proposed_at = now;
  wire::StoreCommandBatchT batch;
  auto command = std::make_shared<wire::StoreCommandT>();
  command->body.Set(std::move(step));
  batch.commands.push_back(std::move(command));
  // A proposal fails if this replica is no longer the leader; the next leader then decides.
  if (!context_.consensus.propose(encodeBatch(batch), now)) tracker.proposed_at = TimePoint();
}

}  // namespace cometstand::store

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
/// A step that has not come back through the log by then is proposed again.
constexpr Duration kProposalTime = std::chrono::milliseconds(500);
/// How far a new leader's count of the time since the order may lag behind.
constexpr Duration kClockStepInterval = std::chrono::seconds(1);

/// Of operators' bound on what a version gets until it is promoted: the share that senders draw by, and the
/// part of the bound above which the version gets nothing more for now. What is left is a margin for reports
/// on their way and for chance.
constexpr double kDrawnPart = 0.6;
constexpr double kMostPart = 0.8;
/// The same of the requests that are allowed besides.
constexpr double kSlackPart = 0.5;
constexpr double kThousand = 1'000;

/// Targets of the new version are taken to be complete if none came for this long and all are warm.
constexpr Duration kSettleTime = std::chrono::milliseconds(500);
/// After this part of the roll-out's time it begins with the targets that are warm by then.
constexpr double kLatestBegin = 0.4;
/// Of the time left for old targets to finish what they have: most of what runs ends within some seconds.
constexpr Duration kPromotionTime = std::chrono::seconds(5);
constexpr double kMostPromotionShare = 0.4;
/// With less than this left a version in doubt is rolled back.
constexpr Duration kLeastPromotionTime = std::chrono::milliseconds(2'500);
constexpr double kLeastPromotionShare = 0.3;
/// A promotion that is not complete so long before the end is taken back.
constexpr Duration kEndMargin = std::chrono::milliseconds(300);
/// Before it is promoted, warm slots of the new version, as a share of the old one's slots.
constexpr double kLeastCapacity = 0.8;
/// After this time nothing reaches a closed version from anywhere: a sidecar's lease (1.5 s), the time in
/// which a follower notices that it has no leader (0.6 s), and some for the way.
constexpr Duration kCloseTime = std::chrono::milliseconds(2'500);

/// Nodes in touch link themselves to a store that has started within this time: they try again after 0.8 s at
/// most (sidecar::PeerLinks).
constexpr Duration kLinkTime = std::chrono::seconds(2);

Duration shareOf(Duration whole, double share) { return std::chrono::duration_cast<Duration>(whole * share); }

Duration durationOf(const wire::RolloutRecordT& record) {
  return std::chrono::milliseconds(record.duration_ms);
}

/// @return time since the order from which on a good version is promoted.
Duration promotionBegin(const wire::RolloutRecordT& record) {
  const Duration whole = durationOf(record);
  return whole - std::min(kPromotionTime, shareOf(whole, kMostPromotionShare));
}

/// @return time since the order after which a version that is not promoted is rolled back.
Duration promotionEnd(const wire::RolloutRecordT& record) {
  const Duration whole = durationOf(record);
  return whole - std::min(kLeastPromotionTime, shareOf(whole, kLeastPromotionShare));
}

}  // namespace

RolloutController::Watch& RolloutController::watchOf(const wire::RolloutRecordT& record, TimePoint now) {
  auto& watch = watches_[record.service];
  if (watch.number != record.number) {
    watch = Watch();
    watch.number = record.number;
    watch.step_since = now;
  }
  if (watch.step != record.step) {
    watch.step = record.step;
    watch.step_since = now;
    watch.proposed_at = TimePoint();
  }
  return watch;
}

void RolloutController::onReport(runtime::LinkId link, const wire::RolloutReportT& report, TimePoint now) {
  const auto record = context_.state.rollouts().find(report.service);
  const auto node = nodes_.nameOf(link);
  const bool is_wanted = record != nullptr && record->number == report.number && node;
  if (is_wanted) watchOf(*record, now).reports.take(*node, report, now);
}

void RolloutController::onTimer(TimePoint now) {
  if (!started_at_) started_at_ = now;
  if (now < check_at_) return;
  check_at_ = now + kCheckInterval;
  if (!context_.isLeader()) {
    watches_.clear();
    return;
  }
  for (const auto& [service, record] : context_.state.rollouts().all()) {
    if (isOver(record->phase)) {
      watches_.erase(service);
      continue;
    }
    auto& watch = watchOf(*record, now);
    if (now >= watch.proposed_at + kProposalTime) decide(*record, watch, now);
  }
}

TimePoint RolloutController::nextTimer() const {
  const auto& all = context_.state.rollouts().all();
  const bool runs =
      std::any_of(all.begin(), all.end(), [](const auto& item) { return !isOver(item.second->phase); });
  return runs ? check_at_ : TimePoint::max();
}

void RolloutController::decide(const wire::RolloutRecordT& record, Watch& watch, TimePoint now) {
  switch (record.phase) {
    case Phase::Canary:
      decideCanary(record, watch, now);
      return;
    case Phase::Promoting:
      decidePromoting(record, watch, now);
      return;
    case Phase::RollingBack:
      decideRollingBack(record, watch, now);
      return;
    case Phase::Succeeded:
    case Phase::RolledBack:
      return;
  }
}

RolloutJudgement RolloutController::judgementOf(const wire::RolloutRecordT& record,
                                                const Watch& watch) const {
  return judge(watch.reports.samplesOf(record.version, false), watch.reports.samplesOf(record.version, true));
}

bool RolloutController::isReady(const wire::RolloutRecordT& record, Watch& watch, TimePoint now) const {
  const auto capacity = watch.reports.capacityOf(record.version, false, now);
  if (capacity.targets != watch.targets) {
    watch.targets = capacity.targets;
    watch.targets_changed_at = now;
  }
  if (capacity.warm_slots == 0) return false;
  const bool is_complete = capacity.cold == 0 && now >= watch.targets_changed_at + kSettleTime;
  return is_complete || clock_.elapsed(record.service, now) >= shareOf(durationOf(record), kLatestBegin);
}

std::uint32_t RolloutController::shareFor(const wire::RolloutRecordT& record, Watch& watch,
                                          TimePoint now) const {
  if (!isReady(record, watch, now)) return 0;
  const auto exposed = static_cast<double>(watch.reports.begun(record.version));
  const auto all = static_cast<double>(watch.reports.begun(std::nullopt));
  const auto& options = context_.options;
  const double most = kSlackPart * static_cast<double>(options.rollout_exposure_slack) +
                      kMostPart * options.rollout_exposure_share * all;
  if (exposed > most) return 0;
  return static_cast<std::uint32_t>(kThousand * kDrawnPart * options.rollout_exposure_share);
}

bool RolloutController::canCarryAll(const wire::RolloutRecordT& record, const Watch& watch,
                                    TimePoint now) const {
  const auto canary = watch.reports.capacityOf(record.version, false, now);
  const auto stable = watch.reports.capacityOf(record.version, true, now);
  return canary.warm_slots > 0 && canary.warm_slots >= kLeastCapacity * stable.slots;
}

void RolloutController::decideCanary(const wire::RolloutRecordT& record, Watch& watch, TimePoint now) {
  const auto judgement = judgementOf(record, watch);
  const Duration elapsed = clock_.elapsed(record.service, now);
  if (judgement.verdict == RolloutVerdict::Bad) {
    step(record, watch, Phase::RollingBack, 0, judgement.reason, now);
    return;
  }
  const bool can_carry_all = canCarryAll(record, watch, now);
  const bool is_good = judgement.verdict == RolloutVerdict::Good && can_carry_all;
  if (is_good && elapsed >= promotionBegin(record)) {
    step(record, watch, Phase::Promoting, 0, judgement.reason, now);
    return;
  }
  if (elapsed >= promotionEnd(record)) {
    const std::string doubt = can_carry_all ? judgement.reason : "too few warm targets of the new version";
    step(record, watch, Phase::RollingBack, 0, "in doubt at the end: " + doubt, now);
    return;
  }
  const auto share = shareFor(record, watch, now);
  const bool is_clock_due = elapsed >= std::chrono::milliseconds(record.elapsed_ms) + kClockStepInterval;
  if (share != record.canary_permille || is_clock_due) step(record, watch, Phase::Canary, share, "", now);
}

std::size_t RolloutController::unconfirmed(const wire::RolloutRecordT& record, const Watch& watch,
                                           bool of_others, TimePoint now) const {
  std::size_t count = 0;
  for (const auto& [node, endpoint] : nodes_.endpointsOf(record.service)) {
    if ((endpoint->version == record.version) == of_others) continue;
    // Old targets must be idle: they end at once after the last step. The new version's drain by themselves.
    if (!watch.reports.isClosed(node, endpoint->endpoint, record.step, of_others, now)) ++count;
  }
  return count;
}

std::size_t RolloutController::lostAndBusy(const wire::RolloutRecordT& record, const Watch& watch,
                                           TimePoint now) const {
  const auto& all = nodes_.lostEndpoints();
  if (all.empty()) return 0;
  const Duration longest = longestRun(record.service);
  const auto count = std::count_if(all.begin(), all.end(), [&](const auto& item) {
    const auto& [node, lost] = item;
    const bool is_other = lost.record->service == record.service && lost.record->version != record.version;
    return is_other && now < lost.lost_at + longest &&
           !watch.reports.endedIdle(node, lost.record->endpoint, record.step);
  });
  return static_cast<std::size_t>(count);
}

Duration RolloutController::longestRun(const std::string& service) const {
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
  return now >= *started_at_ + kLinkTime + longestRun(service);
}

void RolloutController::decidePromoting(const wire::RolloutRecordT& record, Watch& watch, TimePoint now) {
  const auto judgement = judgementOf(record, watch);
  if (judgement.verdict == RolloutVerdict::Bad) {
    step(record, watch, Phase::RollingBack, 0, judgement.reason, now);
    return;
  }
  const auto busy = unconfirmed(record, watch, true, now) + lostAndBusy(record, watch, now);
  const Duration elapsed = clock_.elapsed(record.service, now);
  if (busy == 0 && canCarryAll(record, watch, now) && knowsAllTargets(record.service, now)) {
    step(record, watch, Phase::Succeeded, 0, "no request is left at a target of another version", now);
  } else if (elapsed + kEndMargin >= durationOf(record)) {
    step(record, watch, Phase::RollingBack, 0, fmt::format("{} old targets were not idle in time", busy),
         now);
  } else if (elapsed >= std::chrono::milliseconds(record.elapsed_ms) + kClockStepInterval) {
    step(record, watch, Phase::Promoting, 0, record.reason, now);
  }
}

void RolloutController::decideRollingBack(const wire::RolloutRecordT& record, Watch& watch, TimePoint now) {
  const bool is_everywhere = unconfirmed(record, watch, false, now) == 0;
  if (is_everywhere || now >= watch.step_since + kCloseTime)
    step(record, watch, Phase::RolledBack, 0, record.reason, now);
}

void RolloutController::step(const wire::RolloutRecordT& record, Watch& watch, Phase phase,
                             std::uint32_t share, const std::string& reason, TimePoint now) {
  wire::RolloutStepT step;
  step.service = record.service;
  step.number = record.number;
  step.phase = phase;
  step.canary_permille = share;
  step.elapsed_ms = static_cast<std::uint32_t>(ceilMilliseconds(clock_.elapsed(record.service, now)));
  step.replaced_versions = record.replaced_versions;
  if (phase == Phase::Promoting) {
    auto others = watch.reports.otherVersions(record.version);
    // Targets whose version is not known get nothing while a roll-out runs, and are open afterwards.
    others.erase("");
    // A new leader has heard of few targets yet.
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
                          {"begun_new", watch.reports.begun(record.version)},
                          {"begun_all", watch.reports.begun(std::nullopt)},
                          {"reason", reason}});
  watch.proposed_at = now;
  wire::StoreCommandBatchT batch;
  auto command = std::make_shared<wire::StoreCommandT>();
  command->body.Set(std::move(step));
  batch.commands.push_back(std::move(command));
  // If this replica no longer leads, the next leader decides.
  if (!context_.consensus.propose(encodeBatch(batch), now)) watch.proposed_at = TimePoint();
}

}  // namespace cometstand::store

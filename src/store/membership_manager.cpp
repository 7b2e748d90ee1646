#include "store/membership_manager.h"

#include <algorithm>

#include "base/error.h"
#include "base/event_log.h"
#include "store/events.h"
#include "store/voter_spread.h"

namespace cometstand::store {
namespace {

constexpr Duration kStepInterval = std::chrono::milliseconds(100);
/// A replica that still wants to join asks several times in this time.
constexpr Duration kCandidateLifetime = std::chrono::seconds(1);
constexpr Duration kSilentLearnerLimit = std::chrono::seconds(20);
/// After this time a silent voter gives its place to a learner of any zone. Until then only to one with which
/// the voters outlast the tolerated zone losses as before: a zone without power comes back with its disks,
/// and if its voters had been replaced by those of another zone, that one's disks could hold the only copies.
/// Reckoned: longer than a zone is usually away, shorter than the wait for another machine in its place.
constexpr Duration kSilentZonePatience = std::chrono::seconds(60);
/// All voters are heard for this long before one is replaced for the spread's sake: a replacement while a
/// voter is away would leave a smaller margin, and a new leader takes all for heard at first. Reckoned:
/// several election timeouts.
constexpr Duration kSteadyTime = std::chrono::seconds(1);

using consensus::MembershipChange;
using consensus::MembershipChangeKind;
using consensus::ReplicaId;

bool sameAddress(const wire::ReplicaT& left, const wire::ReplicaT& right) {
  return left.address == right.address && left.port == right.port;
}

MembershipChange removal(ReplicaId id) {
  MembershipChange change;
  change.kind = MembershipChangeKind::RemoveReplica;
  change.replica.id = id;
  return change;
}

}  // namespace

void MembershipManager::onJoinRequest(const wire::ReplicaT& replica, TimePoint now) {
  candidates_[replica.id] = {replica, now};
}

void MembershipManager::onLeadershipChanged(TimePoint now) {
  heard_at_.clear();
  voter_missed_at_ = now;
  step_at_ = now;
}

TimePoint MembershipManager::nextTimer() const {
  return enabled() && context_.isLeader() ? step_at_ : TimePoint::max();
}

void MembershipManager::onTimer(TimePoint now) {
  if (!enabled() || !context_.isLeader() || now < step_at_) return;
  step_at_ = now + kStepInterval;
  std::erase_if(candidates_,
                [now](const auto& item) { return item.second.asked_at + kCandidateLifetime < now; });
  noteActivity(now);
  const auto change = nextChange(now);
  if (!change) return;
  try {
    const auto index = context_.consensus.changeMembership(*change, now);
    logEvent(kMembershipStep, {{"kind", static_cast<int>(change->kind)},
                               {"replica", change->replica.id},
                               {"replaced", change->replaced},
                               {"index", index}});
  } catch (const Error&) {
    // Another change is running, or the learner has not caught up: tried again by the next step.
  }
}

void MembershipManager::noteActivity(TimePoint now) {
  for (const auto& follower : context_.consensus.followers()) {
    // A replica that has just been added counts as heard once.
    const auto known = heard_at_.try_emplace(follower.id, now).first;
    if (follower.is_active) known->second = now;
    if (!follower.is_active && !follower.is_learner) voter_missed_at_ = now;
  }
}

bool MembershipManager::isSilent(ReplicaId id, Duration time, TimePoint now) const {
  if (id == context_.options.self.id) return false;
  const auto heard = heard_at_.find(id);
  return heard != heard_at_.end() && heard->second + time <= now;
}

bool MembershipManager::isActive(ReplicaId id) const {
  const auto followers = context_.consensus.followers();
  return std::any_of(followers.begin(), followers.end(),
                     [id](const auto& follower) { return follower.id == id && follower.is_active; });
}

std::optional<MembershipChange> MembershipManager::nextChange(TimePoint now) const {
  const auto membership = context_.consensus.membership();
  if (auto change = changeForLearner(membership, now)) return change;
  if (auto change = changeForCandidate(membership, now)) return change;
  if (auto change = removalOfSilentLearner(membership, now)) return change;
  return changeForSpread(membership, now);
}

std::vector<const wire::ReplicaT*> MembershipManager::activeLearners(const wire::MembershipT& membership,
                                                                     TimePoint now) const {
  std::vector<const wire::ReplicaT*> learners;
  for (const auto& learner : membership.learners) {
    if (isActive(learner->id)) learners.push_back(learner.get());
  }
  if (context_.options.tolerated_zone_losses == 0) return learners;
  wire::MembershipT heard;
  for (const auto& voter : membership.voters) {
    if (!isSilent(voter->id, context_.options.replace_silent_after, now)) heard.voters.push_back(voter);
  }
  auto voters = votersByZone(heard);
  std::stable_sort(learners.begin(), learners.end(), [&voters](const auto* left, const auto* right) {
    return voters[left->zone] < voters[right->zone];
  });
  return learners;
}

std::optional<MembershipChange> MembershipManager::changeForSpread(const wire::MembershipT& membership,
                                                                   TimePoint now) const {
  const auto zones = context_.options.tolerated_zone_losses;
  if (zones == 0 || now < voter_missed_at_ + kSteadyTime) return std::nullopt;
  std::map<ReplicaId, const wire::ReplicaT*> candidates;
  for (const auto* learner : activeLearners(membership, now)) candidates[learner->id] = learner;
  return spreadStep(membership, candidates, zones, context_.options.self.id);
}

ReplicaId MembershipManager::placeFor(const wire::MembershipT& membership, const wire::ReplicaT& learner,
                                      TimePoint now) const {
  for (const auto& voter : membership.voters) {
    if (sameAddress(*voter, learner)) return voter->id;
  }
  for (const auto& voter : membership.voters) {
    if (!isSilent(voter->id, context_.options.replace_silent_after, now)) continue;
    if (mayTakePlace(membership, *voter, learner, now)) return voter->id;
  }
  return 0;
}

bool MembershipManager::mayTakePlace(const wire::MembershipT& membership, const wire::ReplicaT& voter,
                                     const wire::ReplicaT& learner, TimePoint now) const {
  const auto zones = context_.options.tolerated_zone_losses;
  auto voters = votersByZone(membership);
  if (!outlastsZones(voters, zones) || isSilent(voter.id, kSilentZonePatience, now)) return true;
  --voters[voter.zone];
  ++voters[learner.zone];
  return outlastsZones(voters, zones);
}

std::optional<MembershipChange> MembershipManager::changeForLearner(const wire::MembershipT& membership,
                                                                    TimePoint now) const {
  for (const auto* learner : activeLearners(membership, now)) {
    MembershipChange change;
    change.replica.id = learner->id;
    change.replaced = placeFor(membership, *learner, now);
    const bool is_vacant = membership.voters.size() < context_.options.voters;
    if (change.replaced == 0 && !is_vacant) continue;
    change.kind =
        change.replaced == 0 ? MembershipChangeKind::PromoteLearner : MembershipChangeKind::ReplaceVoter;
    return change;
  }
  return std::nullopt;
}

std::optional<MembershipChange> MembershipManager::changeForCandidate(const wire::MembershipT& membership,
                                                                      TimePoint /*now*/) const {
  for (const auto& [id, candidate] : candidates_) {
    if (consensus::findReplica(membership, id) != nullptr) continue;
    for (const auto& learner : membership.learners) {
      // Its folder is gone: another replica runs at its address.
      if (sameAddress(*learner, candidate.replica)) return removal(learner->id);
    }
    MembershipChange change;
    change.kind = MembershipChangeKind::AddLearner;
    change.replica = candidate.replica;
    change.replica.incarnation = 0;
    return change;
  }
  return std::nullopt;
}

std::optional<MembershipChange> MembershipManager::removalOfSilentLearner(const wire::MembershipT& membership,
                                                                          TimePoint now) const {
  for (const auto& learner : membership.learners) {
    if (isSilent(learner->id, kSilentLearnerLimit, now)) return removal(learner->id);
  }
  return std::nullopt;
}

}  // namespace cometstand::store

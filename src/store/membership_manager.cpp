#include "store/membership_manager.h"

#include <algorithm>

#include "base/error.h"
#include "base/event_log.h"
#include "store/events.h"
#include "store/voter_spread.h"

namespace cometstand::store {
namespace {

constexpr Duration kStepInterval = std::chrono::milliseconds(100);
/// Join requests older than this are dropped. A joining replica sends several requests within this time.
constexpr Duration kCandidateLifetime = std::chrono::seconds(1);
constexpr Duration kSilentLearnerTimeout = std::chrono::seconds(20);
/// Time after which an unresponsive voter may be replaced by a learner of any zone. Before that, only by a
/// learner with which the voters still survive the tolerated zone losses: a zone without power returns with
/// its disks intact, and if its voters had been replaced by voters in another zone, the disks of that zone
/// could hold the only copies of committed entries. The time is longer than a typical zone outage and shorter
/// than the time to provide a new machine.
constexpr Duration kSilentZoneReplaceDelay = std::chrono::seconds(60);
/// Time for which all voters must have been active before one is replaced to improve the spread over the
/// zones. A replacement while a voter is down would reduce the number of further failures that the cluster
/// survives, and a new leader at first counts every voter as active. The time covers several election
/// timeouts.
constexpr Duration kAllVotersActiveTime = std::chrono::seconds(1);

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
  last_contact_.clear();
  voter_inactive_at_ = now;
  next_step_at_ = now;
}

TimePoint MembershipManager::nextTimer() const {
  return enabled() && context_.isLeader() ? next_step_at_ : TimePoint::max();
}

void MembershipManager::onTimer(TimePoint now) {
  if (!enabled() || !context_.isLeader() || now < next_step_at_) return;
  next_step_at_ = now + kStepInterval;
  std::erase_if(candidates_,
                [now](const auto& item) { return item.second.requested_at + kCandidateLifetime < now; });
  updateLastContact(now);
  const auto change = nextChange(now);
  if (!change) return;
  try {
    const auto index = context_.consensus.changeMembership(*change, now);
    logEvent(kMembershipStep, {{"kind", static_cast<int>(change->kind)},
                               {"replica", change->replica.id},
                               {"replaced", change->replaced},
                               {"index", index}});
  } catch (const Error&) {
    // Another change is in progress or the learner has not caught up. The next step tries again.
  }
}

void MembershipManager::updateLastContact(TimePoint now) {
  for (const auto& follower : context_.consensus.followers()) {
    // The time of the last contact of a newly added replica starts at the time of its addition.
    const auto contact = last_contact_.try_emplace(follower.id, now).first;
    if (follower.is_active) contact->second = now;
    if (!follower.is_active && !follower.is_learner) voter_inactive_at_ = now;
  }
}

bool MembershipManager::isSilent(ReplicaId id, Duration time, TimePoint now) const {
  if (id == context_.options.self.id) return false;
  const auto contact = last_contact_.find(id);
  return contact != last_contact_.end() && contact->second + time <= now;
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
  wire::MembershipT responsive;
  for (const auto& voter : membership.voters) {
    if (!isSilent(voter->id, context_.options.replace_silent_after, now)) responsive.voters.push_back(voter);
  }
  auto voters = votersByZone(responsive);
  std::stable_sort(learners.begin(), learners.end(), [&voters](const auto* left, const auto* right) {
    return voters[left->zone] < voters[right->zone];
  });
  return learners;
}

std::optional<MembershipChange> MembershipManager::changeForSpread(const wire::MembershipT& membership,
                                                                   TimePoint now) const {
  const auto zone_losses = context_.options.tolerated_zone_losses;
  if (zone_losses == 0 || now < voter_inactive_at_ + kAllVotersActiveTime) return std::nullopt;
  std::map<ReplicaId, const wire::ReplicaT*> candidates;
  for (const auto* learner : activeLearners(membership, now)) candidates[learner->id] = learner;
  return nextSpreadChange(membership, candidates, zone_losses, context_.options.self.id);
}

ReplicaId MembershipManager::voterReplacedBy(const wire::MembershipT& membership,
                                             const wire::ReplicaT& learner, TimePoint now) const {
  for (const auto& voter : membership.voters) {
    if (sameAddress(*voter, learner)) return voter->id;
  }
  for (const auto& voter : membership.voters) {
    if (!isSilent(voter->id, context_.options.replace_silent_after, now)) continue;
    if (mayReplace(membership, *voter, learner, now)) return voter->id;
  }
  return 0;
}

bool MembershipManager::mayReplace(const wire::MembershipT& membership, const wire::ReplicaT& voter,
                                   const wire::ReplicaT& learner, TimePoint now) const {
  const auto zone_losses = context_.options.tolerated_zone_losses;
  auto voters = votersByZone(membership);
  if (!survivesZoneLosses(voters, zone_losses) || isSilent(voter.id, kSilentZoneReplaceDelay, now))
    return true;
  --voters[voter.zone];
  ++voters[learner.zone];
  return survivesZoneLosses(voters, zone_losses);
}

std::optional<MembershipChange> MembershipManager::changeForLearner(const wire::MembershipT& membership,
                                                                    TimePoint now) const {
  for (const auto* learner : activeLearners(membership, now)) {
    MembershipChange change;
    change.replica.id = learner->id;
    change.replaced = voterReplacedBy(membership, *learner, now);
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
      // The learner's data folder was lost: a replica with another identifier now runs at its address.
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
    if (isSilent(learner->id, kSilentLearnerTimeout, now)) return removal(learner->id);
  }
  return std::nullopt;
}

}  // namespace cometstand::store

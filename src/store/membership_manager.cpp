#include "store/membership_manager.h"

#include <algorithm>
#include <utility>

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
/// zones, and for which enough replicas must have been available before there are spare voters. A change
/// while a voter is down would reduce the number of further failures that the cluster survives, and a new
/// leader at first counts every voter as active. The time covers several election timeouts.
constexpr Duration kAllVotersActiveTime = std::chrono::seconds(1);
/// A new leader counts the silence of the former leader from its last message, but observes it itself for at
/// least this long.
constexpr Duration kMinSilenceObserved = std::chrono::milliseconds(500);

using consensus::MembershipChange;
using consensus::MembershipChangeKind;
using consensus::ReplicaId;

bool sameAddress(const wire::ReplicaT& left, const wire::ReplicaT& right) {
  return left.address == right.address && left.port == right.port;
}

MembershipChange changeOf(MembershipChangeKind kind, ReplicaId id, ReplicaId replaced = 0) {
  MembershipChange change;
  change.kind = kind;
  change.replica.id = id;
  change.replaced = replaced;
  return change;
}

MembershipChange removal(ReplicaId id) { return changeOf(MembershipChangeKind::RemoveReplica, id); }

/// @return true if the cluster without the voter survives the zone losses, or does not survive them now.
bool mayLoseVoter(const wire::MembershipT& membership, const wire::ReplicaT& voter, std::size_t zone_losses) {
  auto voters = votersByZone(membership);
  if (!survivesZoneLosses(voters, zone_losses)) return true;
  if (--voters[voter.zone] == 0) voters.erase(voter.zone);
  return survivesZoneLosses(voters, zone_losses);
}

}  // namespace

void MembershipManager::onJoinRequest(const wire::ReplicaT& replica, TimePoint now) {
  candidates_[replica.id] = {replica, now};
}

void MembershipManager::onHeard(ReplicaId replica, TimePoint now) {
  if (replica == context_.consensus.leadership().leader) former_leader_ = {replica, now};
}

void MembershipManager::onVoteReleaseRequest(const Requester& requester,
                                             const wire::VoteReleaseRequestT& request, TimePoint now) {
  stopping_.onAnnounced(request.replica, now);
  next_step_at_ = std::min(next_step_at_, now);
  wire::VoteReleaseReplyT reply;
  reply.state = voteReleaseState(request.replica);
  context_.actions.send(requester.link, reply, requester.request_id);
}

wire::VoteReleaseState MembershipManager::voteReleaseState(ReplicaId id) const {
  if (!context_.isLeader()) return wire::VoteReleaseState::NotLeader;
  const auto membership = context_.consensus.membership();
  if (consensus::isVoter(membership, id))
    return canReleaseVote(membership, id) ? wire::VoteReleaseState::Pending
                                          : wire::VoteReleaseState::NoSuccessor;
  return context_.consensus.isMembershipSettled() ? wire::VoteReleaseState::Released
                                                  : wire::VoteReleaseState::Pending;
}

bool MembershipManager::canReleaseVote(const wire::MembershipT& membership, ReplicaId id) const {
  if (membership.replaced == id || membership.voters.size() > context_.options.voters) return true;
  const auto is_running_learner = [this](const auto& learner) {
    return isActive(learner->id) && !stopping_.contains(learner->id);
  };
  const auto is_new = [&](const auto& candidate) {
    return !stopping_.contains(candidate.first) &&
           consensus::findReplica(membership, candidate.first) == nullptr;
  };
  return std::any_of(membership.learners.begin(), membership.learners.end(), is_running_learner) ||
         std::any_of(candidates_.begin(), candidates_.end(), is_new);
}

bool MembershipManager::releaseOwnVote(TimePoint now) {
  if (!enabled() || !context_.isLeader()) return false;
  const auto self = context_.options.self.id;
  stopping_.onAnnounced(self, now);
  const auto membership = context_.consensus.membership();
  if (membership.replaced == self || !consensus::isVoter(membership, self)) return true;
  const auto learners = availableLearners(membership, now);
  if (!learners.empty()) {
    begin(changeOf(MembershipChangeKind::ReplaceVoter, learners.front()->id, self), now);
    return true;
  }
  if (membership.voters.size() <= context_.options.voters) return false;
  begin(removal(self), now);
  return true;
}

void MembershipManager::onLeadershipChanged(TimePoint now) {
  last_contact_.clear();
  voter_inactive_at_ = now;
  spare_missing_at_ = now;
  next_step_at_ = now;
  leadership_changed_at_ = now;
  tolerates_loss_ = true;
}

TimePoint MembershipManager::nextTimer() const {
  return enabled() && context_.isLeader() ? next_step_at_ : TimePoint::max();
}

void MembershipManager::onTimer(TimePoint now) {
  if (!enabled() || !context_.isLeader() || now < next_step_at_) return;
  next_step_at_ = now + kStepInterval;
  std::erase_if(candidates_,
                [now](const auto& item) { return item.second.requested_at + kCandidateLifetime < now; });
  stopping_.removeOutdated(now);
  updateLastContact(now);
  if (availableReplicas().size() < context_.options.voters + context_.options.spare_voters)
    spare_missing_at_ = now;
  logToleranceChange(now);
  if (const auto change = nextChange(now)) begin(*change, now);
}

void MembershipManager::begin(const MembershipChange& change, TimePoint now) {
  try {
    const auto index = context_.consensus.changeMembership(change, now);
    logEvent(kMembershipStep, {{"kind", static_cast<int>(change.kind)},
                               {"replica", change.replica.id},
                               {"replaced", change.replaced},
                               {"index", index}});
  } catch (const Error& error) {
    // Another change is in progress or the learner has not caught up. The next step tries again.
    logEvent(
        kMembershipStepDeferred,
        {{"kind", static_cast<int>(change.kind)}, {"replica", change.replica.id}, {"reason", error.what()}});
  }
}

void MembershipManager::updateLastContact(TimePoint now) {
  for (const auto& follower : context_.consensus.followers()) {
    const auto contact = last_contact_.try_emplace(follower.id, firstContact(follower.id, now)).first;
    if (follower.is_active) {
      contact->second = now;
      stopping_.onActive(follower.id, now);
    }
    if (!follower.is_active && !follower.is_learner) voter_inactive_at_ = now;
  }
}

/// @return the time from which the silence of a replica is counted that this leader has not heard yet: that
/// of its addition, or the last message of the former leader.
TimePoint MembershipManager::firstContact(ReplicaId id, TimePoint now) const {
  if (id != former_leader_.replica) return now;
  return std::max(former_leader_.heard_at, now + kMinSilenceObserved - context_.options.replace_silent_after);
}

std::set<ReplicaId> MembershipManager::availableReplicas() const {
  std::set<ReplicaId> available{context_.options.self.id};
  for (const auto& follower : context_.consensus.followers()) {
    if (follower.is_learner ? follower.is_caught_up : follower.is_active) available.insert(follower.id);
  }
  std::erase_if(available, [this](ReplicaId id) { return stopping_.contains(id); });
  return available;
}

std::size_t MembershipManager::targetVoters(TimePoint now) const {
  const bool has_spare = now >= spare_missing_at_ + kAllVotersActiveTime;
  return context_.options.voters + (has_spare ? context_.options.spare_voters : 0);
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
  if (auto change = changeForSurplus(membership, now)) return change;
  return changeForSpread(membership, now);
}

std::vector<const wire::ReplicaT*> MembershipManager::availableLearners(const wire::MembershipT& membership,
                                                                        TimePoint now) const {
  const auto available = availableReplicas();
  std::vector<const wire::ReplicaT*> learners;
  for (const auto& learner : membership.learners) {
    if (available.contains(learner->id)) learners.push_back(learner.get());
  }
  if (context_.options.tolerated_zone_losses == 0) return learners;
  wire::MembershipT remaining;
  for (const auto& voter : membership.voters) {
    const bool is_leaving =
        stopping_.contains(voter->id) || isSilent(voter->id, context_.options.replace_silent_after, now);
    if (!is_leaving) remaining.voters.push_back(voter);
  }
  auto voters = votersByZone(remaining);
  std::stable_sort(learners.begin(), learners.end(), [&voters](const auto* left, const auto* right) {
    return voters[left->zone] < voters[right->zone];
  });
  return learners;
}

std::optional<MembershipChange> MembershipManager::changeForSurplus(const wire::MembershipT& membership,
                                                                    TimePoint now) const {
  if (membership.voters.size() <= context_.options.voters) return std::nullopt;
  const auto self = context_.options.self.id;
  const auto zone_losses = context_.options.tolerated_zone_losses;
  for (const auto& voter : membership.voters) {
    const bool is_stopping = voter->id != self && stopping_.contains(voter->id);
    if (is_stopping) return removal(voter->id);
    const bool is_silent = isSilent(voter->id, context_.options.replace_silent_after, now);
    if (is_silent && mayLoseVoter(membership, *voter, zone_losses)) return removal(voter->id);
  }
  const bool are_all_active = now >= voter_inactive_at_ + kAllVotersActiveTime;
  if (!are_all_active || membership.voters.size() <= targetVoters(now)) return std::nullopt;
  for (const auto& voter : membership.voters) {
    if (voter->id != self && mayLoseVoter(membership, *voter, zone_losses))
      return changeOf(MembershipChangeKind::DemoteVoter, voter->id);
  }
  return std::nullopt;
}

std::optional<MembershipChange> MembershipManager::changeForSpread(const wire::MembershipT& membership,
                                                                   TimePoint now) const {
  const auto zone_losses = context_.options.tolerated_zone_losses;
  if (zone_losses == 0 || now < voter_inactive_at_ + kAllVotersActiveTime) return std::nullopt;
  std::map<ReplicaId, const wire::ReplicaT*> candidates;
  for (const auto* learner : availableLearners(membership, now)) candidates[learner->id] = learner;
  return nextSpreadChange(membership, candidates, zone_losses, context_.options.self.id);
}

ReplicaId MembershipManager::voterReplacedBy(const wire::MembershipT& membership,
                                             const wire::ReplicaT& learner, TimePoint now) const {
  for (const auto& voter : membership.voters) {
    if (sameAddress(*voter, learner)) return voter->id;
  }
  for (const auto& voter : membership.voters) {
    // This replica releases its own vote through releaseOwnVote().
    if (voter->id != context_.options.self.id && stopping_.contains(voter->id)) return voter->id;
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
  for (const auto* learner : availableLearners(membership, now)) {
    const auto replaced = voterReplacedBy(membership, *learner, now);
    if (replaced != 0) return changeOf(MembershipChangeKind::ReplaceVoter, learner->id, replaced);
    const bool is_vacant = membership.voters.size() < targetVoters(now);
    if (is_vacant) return changeOf(MembershipChangeKind::PromoteLearner, learner->id);
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
    auto change = changeOf(MembershipChangeKind::AddLearner, id);
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

void MembershipManager::addTo(StoreMetrics& metrics) const {
  if (!context_.isLeader()) return;
  const auto membership = context_.consensus.membership();
  const auto followers = context_.consensus.followers();
  metrics.voters = membership.voters.size();
  metrics.active_voters =
      (consensus::isVoter(membership, context_.options.self.id) ? 1U : 0U) +
      static_cast<std::uint64_t>(std::count_if(followers.begin(), followers.end(), [](const auto& follower) {
        return follower.is_active && !follower.is_learner;
      }));
  metrics.learners_caught_up =
      static_cast<std::uint64_t>(std::count_if(followers.begin(), followers.end(), [](const auto& follower) {
        return follower.is_caught_up && follower.is_learner;
      }));
  const auto quorum = consensus::quorumSize(membership);
  metrics.tolerable_voter_losses = metrics.active_voters < quorum ? 0 : metrics.active_voters - quorum;
}

void MembershipManager::logToleranceChange(TimePoint now) {
  // A new leader counts no voter as active before its first reply.
  if (now < leadership_changed_at_ + kAllVotersActiveTime) return;
  StoreMetrics metrics;
  addTo(metrics);
  const bool tolerates_loss = metrics.tolerable_voter_losses > 0;
  if (tolerates_loss == std::exchange(tolerates_loss_, tolerates_loss)) return;
  logEvent(tolerates_loss ? kLossTolerable : kLossNotTolerable,
           {{"voters", metrics.voters},
            {"active_voters", metrics.active_voters},
            {"learners_caught_up", metrics.learners_caught_up}});
}

}  // namespace cometstand::store

#include "store/voter_spread.h"

#include <algorithm>
#include <functional>
#include <numeric>
#include <vector>

namespace cometstand::store {
namespace {

using consensus::MembershipChange;
using consensus::MembershipChangeKind;
using consensus::ReplicaId;

std::size_t votersIn(const VotersByZone& voters, const std::string& zone) {
  const auto found = voters.find(zone);
  return found == voters.end() ? 0 : found->second;
}

std::size_t sum(const VotersByZone& voters) {
  return std::accumulate(voters.begin(), voters.end(), std::size_t{0},
                         [](std::size_t total, const auto& item) { return total + item.second; });
}

/// @return true if the learner may become a voter in its zone before the voter that it replaces is removed.
bool isSafeToAddVoter(VotersByZone voters, const std::string& zone, std::size_t lost_zones) {
  const bool survives_now = survivesZoneLosses(voters, lost_zones);
  ++voters[zone];
  return !survives_now || survivesZoneLosses(voters, lost_zones);
}

/// @return a voter in the zone with the most voters, if that zone has at least two voters more than the
/// zone of the learner; otherwise 0.
ReplicaId voterToReplace(const wire::MembershipT& membership, const VotersByZone& voters,
                         const std::string& learner_zone, ReplicaId protected_voter) {
  ReplicaId best = 0;
  std::size_t most = votersIn(voters, learner_zone) + 1;
  for (const auto& voter : membership.voters) {
    const std::size_t count = votersIn(voters, voter->zone);
    if (voter->id == protected_voter || count <= most) continue;
    best = voter->id;
    most = count;
  }
  return best;
}

}  // namespace

VotersByZone votersByZone(const wire::MembershipT& membership) {
  VotersByZone voters;
  for (const auto& voter : membership.voters) ++voters[voter->zone];
  return voters;
}

std::size_t largestZoneLoss(const VotersByZone& voters, std::size_t lost_zones) {
  std::vector<std::size_t> counts;
  for (const auto& [zone, count] : voters) counts.push_back(count);
  std::sort(counts.begin(), counts.end(), std::greater<>());
  counts.resize(std::min(counts.size(), lost_zones));
  return std::accumulate(counts.begin(), counts.end(), std::size_t{0});
}

bool survivesZoneLosses(const VotersByZone& voters, std::size_t lost_zones) {
  const std::size_t all = sum(voters);
  return 2 * (all - largestZoneLoss(voters, lost_zones)) > all;
}

std::optional<MembershipChange> nextSpreadChange(const wire::MembershipT& membership,
                                                 const std::map<ReplicaId, const wire::ReplicaT*>& candidates,
                                                 std::size_t lost_zones, ReplicaId protected_voter) {
  const auto voters = votersByZone(membership);
  std::optional<MembershipChange> step;
  std::size_t fewest = 0;
  for (const auto& [id, learner] : candidates) {
    const std::size_t count = votersIn(voters, learner->zone);
    if (step && count >= fewest) continue;
    const auto replaced = voterToReplace(membership, voters, learner->zone, protected_voter);
    if (replaced == 0 || !isSafeToAddVoter(voters, learner->zone, lost_zones)) continue;
    step.emplace();
    step->kind = MembershipChangeKind::ReplaceVoter;
    step->replica.id = id;
    step->replaced = replaced;
    fewest = count;
  }
  return step;
}

}  // namespace cometstand::store

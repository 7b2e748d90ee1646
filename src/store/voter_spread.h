#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "consensus/membership.h"

namespace cometstand::store {

/// Number of voters in each zone. A replica without a zone counts towards the zone "".
using VotersByZone = std::map<std::string, std::size_t>;

VotersByZone votersByZone(const wire::MembershipT& membership);

/// @return the largest number of voters that the loss of `lost_zones` zones can remove.
std::size_t largestZoneLoss(const VotersByZone& voters, std::size_t lost_zones);

/// @return true if a majority of the voters remains after the loss of any `lost_zones` zones.
bool survivesZoneLosses(const VotersByZone& voters, std::size_t lost_zones);

/// Finds one replacement that balances the numbers of voters in the zones: a learner replaces a voter whose
/// zone has at least two voters more than the zone of the learner. Each replacement lowers the sum of the
/// squares of these numbers, so the replacements terminate and none is ever reversed. In the final state, the
/// loss of any number of zones removes as few voters as the available replicas allow.
///
/// During a replacement, learner and replaced voter vote together at first. A replacement is not proposed if
/// the voters survive the loss of `lost_zones` zones now but would not survive it in that phase.
///
/// @param candidates learners that may become voters, by identifier.
/// @param lost_zones number of lost zones that the voters should survive.
/// @param protected_voter a voter that is not replaced: the leader, whose removal would require an election.
std::optional<consensus::MembershipChange> nextSpreadChange(
    const wire::MembershipT& membership,
    const std::map<consensus::ReplicaId, const wire::ReplicaT*>& candidates, std::size_t lost_zones,
    consensus::ReplicaId protected_voter);

}  // namespace cometstand::store

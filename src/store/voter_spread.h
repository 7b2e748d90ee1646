#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "consensus/membership.h"

namespace cometstand::store {

/// Voters of each zone. A replica that names no zone counts as one of the zone "".
using VotersByZone = std::map<std::string, std::size_t>;

VotersByZone votersByZone(const wire::MembershipT& membership);

/// @return the most voters that can be lost with so many zones.
std::size_t largestZoneLoss(const VotersByZone& voters, std::size_t zones);

/// @return true if a majority of the voters is left whichever `zones` zones are lost.
bool outlastsZones(const VotersByZone& voters, std::size_t zones);

/// One replacement that makes the voters' numbers in the zones more equal: a learner takes the place of a
/// voter whose zone has at least two voters more than the learner's. Each such step lowers the sum of the
/// squares of these numbers, so steps end, and none is ever taken back. Where they end, every number of zones
/// takes as few voters with it as the replicas allow.
///
/// Not proposed is a step whose first half, with both of them voters, would outlast fewer zones than now.
///
/// @param zones that are to be outlasted.
/// @param candidates learners that may become voters, by id. @param kept a voter that is not replaced: the
/// leader, whose removal would cost an election.
std::optional<consensus::MembershipChange> spreadStep(
    const wire::MembershipT& membership,
    const std::map<consensus::ReplicaId, const wire::ReplicaT*>& candidates, std::size_t zones,
    consensus::ReplicaId kept);

}  // namespace cometstand::store

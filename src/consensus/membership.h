#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "consensus/output.h"
#include "schema/consensus_generated.h"

namespace cometstand::consensus {

enum class MembershipChangeKind : std::uint8_t {
  /// Adds `replica`, which gets the log but has no vote.
  AddLearner,
  /// Makes the learner `replica.id` a voter.
  PromoteLearner,
  /// Removes the voter or learner `replica.id`.
  RemoveReplica,
  /// Makes the learner `replica.id` a voter, then removes the voter `replaced`.
  ReplaceVoter,
};

struct MembershipChange {
  MembershipChangeKind kind = MembershipChangeKind::AddLearner;
  /// Only the id is read, except by AddLearner.
  wire::ReplicaT replica;
  /// Only read by ReplaceVoter.
  ReplicaId replaced = 0;
};

/// What a leader knows of another replica.
struct FollowerStatus {
  ReplicaId id = 0;
  bool is_learner = false;
  /// Last index known to be on the follower's disk.
  LogIndex match_index = 0;
  /// True if it answered within the last election timeout.
  bool is_active = false;
};

std::vector<std::uint8_t> encodeMembership(const wire::MembershipT& membership);

/// @throw Error(Corrupt) if the bytes are no membership.
wire::MembershipT decodeMembership(const std::vector<std::uint8_t>& bytes);

bool isVoter(const wire::MembershipT& membership, ReplicaId id);
bool isLearner(const wire::MembershipT& membership, ReplicaId id);

/// @return the voter or learner of that id, or nullptr.
const wire::ReplicaT* findReplica(const wire::MembershipT& membership, ReplicaId id);

/// @return the smallest number of voters that is more than half of them.
std::size_t quorumSize(const wire::MembershipT& membership);

/// @return the highest value that a quorum of the voters has reached, given each voter's value. At least one.
template <typename Value>
Value quorumValue(std::vector<Value> values) {
  const auto position = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
  // Sorted ascending, the values from this position on are held by more than half.
  std::nth_element(values.begin(), position, values.end());
  return *position;
}

/// @return the membership with one replica added, promoted or removed. At most one voter differs, so that any
/// quorum of the old one shares a voter with any quorum of the new one (section 4.1 of the dissertation). For
/// ReplaceVoter this is the promotion.
/// @param learned_incarnation of the replica to be promoted, as its answers say.
/// @throw Error(NotFound), Error(Conflict) or Error(Invalid) if the change does not fit.
wire::MembershipT applyChange(const wire::MembershipT& membership, const MembershipChange& change,
                              std::uint64_t learned_incarnation);

/// @throw Error(Invalid) if ids are 0 or repeated, or there is no voter.
void checkMembership(const wire::MembershipT& membership);

}  // namespace cometstand::consensus

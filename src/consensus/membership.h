#pragma once

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

}  // namespace cometstand::consensus

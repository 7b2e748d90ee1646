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
  /// Adds `replica` as a learner: it receives the log but does not vote.
  AddLearner,
  /// Makes the learner `replica.id` a voter.
  PromoteLearner,
  /// Removes the voter or learner `replica.id`.
  RemoveReplica,
  /// Makes the learner `replica.id` a voter, then removes the voter `replaced`.
  ReplaceVoter,
  /// Makes the voter `replica.id` a learner.
  DemoteVoter,
};

struct MembershipChange {
  MembershipChangeKind kind = MembershipChangeKind::AddLearner;
  /// AddLearner uses all fields; the other kinds use only the id.
  wire::ReplicaT replica;
  /// Id of the voter to remove; used only by ReplaceVoter.
  ReplicaId replaced = 0;
};

/// Terms with which a new cluster begins.
struct BootstrapTerms {
  /// Term of the first log entry, at least 1.
  Term entry = 1;
  /// Term of the replica, the same for all initial voters and not below that of any first entry. The first
  /// election has a higher one.
  Term current = 1;
};

/// Status of another replica as the leader reports it.
struct FollowerStatus {
  ReplicaId id = 0;
  bool is_learner = false;
  /// Last log index known to be synced to the follower's disk.
  LogIndex match_index = 0;
  /// True if the replica replied within the last election timeout.
  bool is_active = false;
  /// True if the replica is active and has synced all entries that were committed when the round began that
  /// it acknowledged last.
  bool is_caught_up = false;
};

std::vector<std::uint8_t> encodeMembership(const wire::MembershipT& membership);

/// @throw Error(Corrupt) if the bytes are not a valid membership.
wire::MembershipT decodeMembership(const std::vector<std::uint8_t>& bytes);

bool isVoter(const wire::MembershipT& membership, ReplicaId id);
bool isLearner(const wire::MembershipT& membership, ReplicaId id);

/// @return the voter or learner with that id, or nullptr if there is none.
const wire::ReplicaT* findReplica(const wire::MembershipT& membership, ReplicaId id);

/// @return the smallest number of voters that is a majority.
std::size_t quorumSize(const wire::MembershipT& membership);

/// @return the highest value that a quorum of the voters has reached.
/// @param values one value for each voter; not empty.
template <typename Value>
Value quorumValue(std::vector<Value> values) {
  const auto position = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
  // In ascending order, the values from this position to the end belong to a majority of the voters.
  std::nth_element(values.begin(), position, values.end());
  return *position;
}

/// Applies a single-server membership change. At most one voter differs between the old and the new
/// membership, so that every quorum of the one shares a voter with every quorum of the other (section 4.1 of
/// the Raft dissertation).
/// @return the membership with one replica added, promoted or removed. For ReplaceVoter, the learner is
/// promoted and the voter to remove is recorded in `replaced`.
/// @param reported_incarnation incarnation that the replica to be promoted named in its replies.
/// @throw Error(NotFound), Error(Conflict) or Error(Invalid) if the change cannot be applied to the
/// membership.
wire::MembershipT applyChange(const wire::MembershipT& membership, const MembershipChange& change,
                              std::uint64_t reported_incarnation);

/// @throw Error(Invalid) if an id is 0 or occurs twice, or if there is no voter.
void checkMembership(const wire::MembershipT& membership);

}  // namespace cometstand::consensus

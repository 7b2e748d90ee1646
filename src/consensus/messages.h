#pragma once

#include <utility>

#include "consensus/consensus.h"

/// Definitions of the member templates of Consensus that several of its source files use.
namespace cometstand::consensus {

template <typename Body>
void Consensus::send(ReplicaId to, Body body, runtime::WriteId after) {
  const auto* replica = findReplica(log_.membership(), to);
  if (replica == nullptr) return;
  wire::ConsensusMessageT message;
  message.from = self_.id;
  message.from_incarnation = incarnation_;
  message.to = to;
  message.to_incarnation = replica->incarnation;
  message.to_learner = isLearner(log_.membership(), to);
  message.body.Set(std::move(body));
  outbox_.add(std::move(message), after);
}

template <typename Body>
void Consensus::reply(const wire::ConsensusMessageT& request, Body body, runtime::WriteId after) {
  wire::ConsensusMessageT message;
  message.from = self_.id;
  message.from_incarnation = incarnation_;
  message.to = request.from;
  message.to_incarnation = request.from_incarnation;
  message.body.Set(std::move(body));
  outbox_.add(std::move(message), after);
}

/// @param own the value of this replica, which must be the leader.
/// @param of_follower returns the value for the FollowerProgress of another voter.
/// @return the highest value that a quorum of the voters has reached.
template <typename Value, typename OwnValue, typename FollowerValue>
Value Consensus::quorumOf(OwnValue own, FollowerValue of_follower) const {
  std::vector<Value> values;
  for (const auto& voter : log_.membership().voters) {
    const bool is_self = voter->id == self_.id;
    values.push_back(is_self ? Value(own) : of_follower(leader_state_->followers.at(voter->id)));
  }
  return quorumValue(std::move(values));
}

}  // namespace cometstand::consensus

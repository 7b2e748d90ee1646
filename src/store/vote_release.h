#pragma once

#include <optional>

#include "store/replica_links.h"
#include "store/store_context.h"

namespace cometstand::store {

/// The part of a planned stop in which this replica, as a follower, asks the leader to remove it from the
/// voters. Without this, the vote of an ended process counts towards the quorum until the replica is
/// replaced, and the loss of the next disk in this time may make the configuration unreadable for good.
///
/// The leader gives the vote to a learner (see MembershipManager). A replica that was removed receives no
/// further log entries, so the requests are repeated until the leader replies that the removal is committed.
/// A stopping leader releases its own vote through MembershipManager::releaseOwnVote().
class VoteRelease {
 public:
  VoteRelease(StoreContext& context, const ReplicaLinks& replicas) : context_(context), replicas_(replicas) {}

  /// Starts the requests. Must be called at the beginning of a planned stop.
  void begin(TimePoint now);
  void onReply(const wire::VoteReleaseReplyT& reply, TimePoint now);
  void onTimer(TimePoint now);
  TimePoint nextTimer() const;
  /// @return true if this replica is no voter, no other replica can take its vote, or no leader replies.
  bool isDone() const;

 private:
  bool isActive() const { return begun_ && !is_ended_ && !context_.options.seeds.empty(); }
  /// @return true if the membership known to this replica is committed and does not have it as a voter.
  bool isNoVoter() const;
  void sendRequests();

  StoreContext& context_;
  const ReplicaLinks& replicas_;
  bool begun_ = false;
  /// The vote is released, or no other replica can take it.
  bool is_ended_ = false;
  /// When a leader replied last, this replica led last, or the stop began.
  TimePoint leader_known_at_;
  TimePoint next_request_at_;
};

}  // namespace cometstand::store

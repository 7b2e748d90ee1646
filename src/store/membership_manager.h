#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "store/stopping_replicas.h"
#include "store/store_context.h"

namespace cometstand::store {

/// Runs on the leader and keeps the voters among the replicas that run, without an operator:
///
/// - A replica that sends a join request becomes a learner.
/// - A learner that has caught up replaces the voter at the same address (whose disk was lost), replaces a
///   voter that is stopping or has not responded for StoreOptions::replace_silent_after, or fills a vacancy.
/// - There are StoreOptions::voters voters, and StoreOptions::spare_voters more while as many replicas are
///   available.
/// - With more than StoreOptions::voters voters, one that is stopping or unresponsive is removed if there is
///   no learner to replace it. Another one then becomes a learner, so that their number is odd again.
/// - A learner that has not responded for kSilentLearnerTimeout is removed.
/// - With StoreOptions::tolerated_zone_losses, learners in the zones with the fewest voters are used first.
///   For kSilentZoneReplaceDelay, an unresponsive voter is not replaced by a learner of a zone that would
///   then hold too many voters. After all voters have been active for kAllVotersActiveTime, voters are
///   replaced one at a time until they are spread over the zones (see nextSpreadChange()).
///
/// Below StoreOptions::voters, a voter is removed only by the change that puts a caught-up learner in its
/// place. Only one change runs at a time (see consensus::Consensus::changeMembership()).
class MembershipManager {
 public:
  explicit MembershipManager(StoreContext& context) : context_(context) {}

  /// Records the join request. Called on every replica; only the leader changes the membership.
  void onJoinRequest(const wire::ReplicaT& replica, TimePoint now);
  /// Called for each consensus message. The silence of a former leader counts from its last message.
  void onHeard(consensus::ReplicaId replica, TimePoint now);
  /// Records that the replica is stopping, on every replica, and replies how far the release of its vote is.
  void onVoteReleaseRequest(const Requester& requester, const wire::VoteReleaseRequestT& request,
                            TimePoint now);
  void onLeadershipChanged(TimePoint now);
  /// Begins to remove this replica from the voters if it leads. Must be called again until it does not lead.
  /// @return false if no other replica can take the vote.
  bool releaseOwnVote(TimePoint now);
  void onTimer(TimePoint now);
  TimePoint nextTimer() const;
  /// Sets the gauges of the voters; they are 0 unless this replica leads.
  void addTo(StoreMetrics& metrics) const;

 private:
  struct Candidate {
    wire::ReplicaT replica;
    TimePoint requested_at;
  };

  bool enabled() const { return !context_.options.seeds.empty(); }
  void updateLastContact(TimePoint now);
  TimePoint firstContact(consensus::ReplicaId id, TimePoint now) const;
  bool isSilent(consensus::ReplicaId id, Duration time, TimePoint now) const;
  bool isActive(consensus::ReplicaId id) const;
  /// @return replicas that respond and are not stopping: this one, voters, and learners that have caught up.
  std::set<consensus::ReplicaId> availableReplicas() const;
  /// @return the number of voters to aim for with the available replicas.
  std::size_t targetVoters(TimePoint now) const;
  /// @return true if the leader can remove the voter now or soon.
  bool canReleaseVote(const wire::MembershipT& membership, consensus::ReplicaId id) const;
  wire::VoteReleaseState voteReleaseState(consensus::ReplicaId id) const;
  void begin(const consensus::MembershipChange& change, TimePoint now);
  void logToleranceChange(TimePoint now);
  /// @return the next membership change, if any is needed.
  std::optional<consensus::MembershipChange> nextChange(TimePoint now) const;
  std::optional<consensus::MembershipChange> changeForLearner(const wire::MembershipT& membership,
                                                              TimePoint now) const;
  std::optional<consensus::MembershipChange> changeForCandidate(const wire::MembershipT& membership,
                                                                TimePoint now) const;
  std::optional<consensus::MembershipChange> removalOfSilentLearner(const wire::MembershipT& membership,
                                                                    TimePoint now) const;
  /// @return learners that may become voters. With tolerated zone losses, learners in the zones with the
  /// fewest voters come first.
  std::vector<const wire::ReplicaT*> availableLearners(const wire::MembershipT& membership,
                                                       TimePoint now) const;
  /// @return a change that reduces the number of voters, if there are more than can be used.
  std::optional<consensus::MembershipChange> changeForSurplus(const wire::MembershipT& membership,
                                                              TimePoint now) const;
  std::optional<consensus::MembershipChange> changeForSpread(const wire::MembershipT& membership,
                                                             TimePoint now) const;
  /// @return the voter that the learner is to replace; 0 if none.
  consensus::ReplicaId voterReplacedBy(const wire::MembershipT& membership, const wire::ReplicaT& learner,
                                       TimePoint now) const;

  /// @return true if the spread over the zones allows the learner to replace the unresponsive voter.
  bool mayReplace(const wire::MembershipT& membership, const wire::ReplicaT& voter,
                  const wire::ReplicaT& learner, TimePoint now) const;

  struct FormerLeader {
    consensus::ReplicaId replica = 0;
    TimePoint heard_at;
  };

  StoreContext& context_;
  std::map<consensus::ReplicaId, Candidate> candidates_;
  /// The leader that this replica followed last.
  FormerLeader former_leader_;
  std::map<consensus::ReplicaId, TimePoint> last_contact_;
  StoppingReplicas stopping_;
  /// The last time that a voter was inactive or that leadership changed.
  TimePoint voter_inactive_at_;
  /// The last time that there were too few available replicas for spare voters, or that leadership changed.
  TimePoint spare_missing_at_;
  TimePoint leadership_changed_at_;
  TimePoint next_step_at_;
  bool tolerates_loss_ = true;
};

}  // namespace cometstand::store

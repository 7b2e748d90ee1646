#pragma once

#include <map>
#include <optional>
#include <vector>

#include "store/store_context.h"

namespace cometstand::store {

/// Runs on the leader and keeps the number of voters at StoreOptions::voters without an operator:
///
/// - A replica that sends a join request becomes a learner.
/// - A learner that has caught up replaces the voter at the same address (whose disk was lost), fills a
///   vacancy, or replaces a voter that has not responded for StoreOptions::replace_silent_after.
/// - A learner that has not responded for kSilentLearnerTimeout is removed.
/// - With StoreOptions::tolerated_zone_losses, learners in the zones with the fewest voters are used first.
///   For kSilentZoneReplaceDelay, an unresponsive voter is not replaced by a learner of a zone that would
///   then hold too many voters. After all voters have been active for kAllVotersActiveTime, voters are
///   replaced one at a time until they are spread over the zones (see nextSpreadChange()).
///
/// A voter is removed only by the change that puts a caught-up learner in its place, so the number of copies
/// never decreases. Only one change runs at a time (see consensus::Consensus::changeMembership()).
class MembershipManager {
 public:
  explicit MembershipManager(StoreContext& context) : context_(context) {}

  /// Records the join request. Called on every replica; only the leader changes the membership.
  void onJoinRequest(const wire::ReplicaT& replica, TimePoint now);
  void onLeadershipChanged(TimePoint now);
  void onTimer(TimePoint now);
  TimePoint nextTimer() const;

 private:
  struct Candidate {
    wire::ReplicaT replica;
    TimePoint requested_at;
  };

  bool enabled() const { return !context_.options.seeds.empty(); }
  void updateLastContact(TimePoint now);
  bool isSilent(consensus::ReplicaId id, Duration time, TimePoint now) const;
  bool isActive(consensus::ReplicaId id) const;
  /// @return the next membership change, if any is needed.
  std::optional<consensus::MembershipChange> nextChange(TimePoint now) const;
  std::optional<consensus::MembershipChange> changeForLearner(const wire::MembershipT& membership,
                                                              TimePoint now) const;
  std::optional<consensus::MembershipChange> changeForCandidate(const wire::MembershipT& membership,
                                                                TimePoint now) const;
  std::optional<consensus::MembershipChange> removalOfSilentLearner(const wire::MembershipT& membership,
                                                                    TimePoint now) const;
  /// @return the active learners. With tolerated zone losses, learners in the zones with the fewest voters
  /// come first.
  std::vector<const wire::ReplicaT*> activeLearners(const wire::MembershipT& membership, TimePoint now) const;
  std::optional<consensus::MembershipChange> changeForSpread(const wire::MembershipT& membership,
                                                             TimePoint now) const;
  /// @return the voter that the learner is to replace; 0 if none.
  consensus::ReplicaId voterReplacedBy(const wire::MembershipT& membership, const wire::ReplicaT& learner,
                                       TimePoint now) const;

  /// @return true if the spread over the zones allows the learner to replace the unresponsive voter.
  bool mayReplace(const wire::MembershipT& membership, const wire::ReplicaT& voter,
                  const wire::ReplicaT& learner, TimePoint now) const;

  StoreContext& context_;
  std::map<consensus::ReplicaId, Candidate> candidates_;
  std::map<consensus::ReplicaId, TimePoint> last_contact_;
  /// The last time that a voter was inactive or that leadership changed.
  TimePoint voter_inactive_at_;
  TimePoint next_step_at_;
};

}  // namespace cometstand::store

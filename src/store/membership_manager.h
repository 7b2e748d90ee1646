#pragma once

#include <map>
#include <optional>
#include <vector>

#include "store/store_context.h"

namespace cometstand::store {

/// Keeps the number of voters at StoreOptions::voters without an operator, on whichever replica leads:
///
/// - A replica that asks to join becomes a learner.
/// - A learner that has caught up takes the place of the voter whose disk it replaces (the same address under
///   another id), fills a vacancy, or takes the place of a voter that has been silent for
///   StoreOptions::replace_silent_after.
/// - A learner that has been silent for long is removed.
/// - With StoreOptions::tolerated_zone_losses, learners of zones with the fewest voters come first. A silent
///   voter is not replaced for a while by one of a zone that would then hold too many voters. Once all voters
///   have been heard for a while, one replacement after another spreads them over the zones (spreadStep()).
///
/// A voter is only removed by the same change that puts a caught-up successor in its place, so the number of
/// copies never falls. One change at a time (consensus::Consensus::changeMembership()).
class MembershipManager {
 public:
  explicit MembershipManager(StoreContext& context) : context_(context) {}

  /// To be called on every replica; only the leader acts on it.
  void onJoinRequest(const wire::ReplicaT& replica, TimePoint now);
  void onLeadershipChanged(TimePoint now);
  void onTimer(TimePoint now);
  TimePoint nextTimer() const;

 private:
  struct Candidate {
    wire::ReplicaT replica;
    TimePoint asked_at;
  };

  bool enabled() const { return !context_.options.seeds.empty(); }
  void noteActivity(TimePoint now);
  bool isSilent(consensus::ReplicaId id, Duration time, TimePoint now) const;
  bool isActive(consensus::ReplicaId id) const;
  /// @return the one change that is due, if any.
  std::optional<consensus::MembershipChange> nextChange(TimePoint now) const;
  std::optional<consensus::MembershipChange> changeForLearner(const wire::MembershipT& membership,
                                                              TimePoint now) const;
  std::optional<consensus::MembershipChange> changeForCandidate(const wire::MembershipT& membership,
                                                                TimePoint now) const;
  std::optional<consensus::MembershipChange> removalOfSilentLearner(const wire::MembershipT& membership,
                                                                    TimePoint now) const;
  /// @return learners that are heard; with tolerated zone losses, those of zones with the fewest voters
  /// first.
  std::vector<const wire::ReplicaT*> activeLearners(const wire::MembershipT& membership, TimePoint now) const;
  std::optional<consensus::MembershipChange> changeForSpread(const wire::MembershipT& membership,
                                                             TimePoint now) const;
  /// @return the voter whose place the learner is to take; 0 if none.
  consensus::ReplicaId placeFor(const wire::MembershipT& membership, const wire::ReplicaT& learner,
                                TimePoint now) const;

  /// @return true if the learner may replace the silent voter, for all that is known of their zones.
  bool mayTakePlace(const wire::MembershipT& membership, const wire::ReplicaT& voter,
                    const wire::ReplicaT& learner, TimePoint now) const;

  StoreContext& context_;
  std::map<consensus::ReplicaId, Candidate> candidates_;
  std::map<consensus::ReplicaId, TimePoint> heard_at_;
  /// When a voter was last not heard, or this replica began to lead.
  TimePoint voter_missed_at_;
  TimePoint step_at_;
};

}  // namespace cometstand::store

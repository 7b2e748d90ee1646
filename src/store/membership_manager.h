#pragma once

#include <map>
#include <optional>

#include "store/store_context.h"

namespace cometstand::store {

/// Keeps the number of voters at StoreOptions::voters without an operator, on whichever replica leads:
///
/// - A replica that asks to join becomes a learner.
/// - A learner that has caught up takes the place of the voter whose disk it replaces (the same address under
///   another id), fills a vacancy, or takes the place of a voter that has been silent for
///   StoreOptions::replace_silent_after.
/// - A learner that has been silent for long is removed.
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
  /// @return the voter whose place the learner is to take; 0 if none.
  consensus::ReplicaId placeFor(const wire::MembershipT& membership, const wire::ReplicaT& learner,
                                TimePoint now) const;

  StoreContext& context_;
  std::map<consensus::ReplicaId, Candidate> candidates_;
  std::map<consensus::ReplicaId, TimePoint> heard_at_;
  TimePoint step_at_;
};

}  // namespace cometstand::store

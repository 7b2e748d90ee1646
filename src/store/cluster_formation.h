#pragma once

#include <map>
#include <set>

#include "store/replica_links.h"
#include "store/store_context.h"

namespace cometstand::store {

/// First start of a cluster. A replica that is asked to bootstrap and finds its folder empty may be a first
/// voter, or one that lost its disk and must never vote as its old self. It asks all other first voters:
///
/// - It bootstraps only once each answered that its folder is empty, or that it has bootstrapped and no
/// election
///   was held. An answer from after an election means that the cluster runs: then the replica only waits to
///   be added under a new identifier.
/// - Once bootstrapped, it begins no election before every first voter has bootstrapped. So an election
/// proves
///   that no first voter's folder is rightly empty.
///
/// The first start therefore needs all first voters; later ones need a quorum.
class ClusterFormation {
 public:
  ClusterFormation(StoreContext& context, const ReplicaLinks& replicas)
      : context_(context), replicas_(replicas) {}

  /// To be called once the consensus module recovered.
  void begin(TimePoint now);
  /// Another replica asks for what this one's folder holds.
  void onRequest(const Asker& asker);
  void onReply(const wire::FormationReplyT& reply, TimePoint now);
  /// @return true while this replica must not begin an election.
  bool holdsElections() const;
  void onTimer(TimePoint now);
  TimePoint nextTimer() const { return isAsking() ? ask_at_ : TimePoint::max(); }

 private:
  /// The term on this replica's disk; 0 for an empty folder.
  consensus::Term storedTerm() const;
  bool isAsking() const;
  void bootstrapIfAgreed(TimePoint now);
  /// Names the first voters without an answer, once in a while.
  void logWaiting(TimePoint now);

  StoreContext& context_;
  const ReplicaLinks& replicas_;
  /// First voters whose term was not above the bootstrap term, with that term.
  std::map<consensus::ReplicaId, consensus::Term> answers_;
  bool cluster_runs_ = false;
  TimePoint ask_at_;
  TimePoint log_at_;
};

}  // namespace cometstand::store

#pragma once

#include <map>
#include <set>

#include "store/replica_links.h"
#include "store/store_context.h"

namespace cometstand::store {

/// Bootstraps a cluster with a fixed list of initial voters. A replica with the bootstrap flag and an empty
/// data folder is either an initial voter on its first start, or a voter that lost its disk. The latter must
/// not vote under its old identifier, because it no longer knows its earlier votes and log entries. The
/// replica therefore requests the stored term of every other initial voter:
///
/// - It bootstraps only after each initial voter has replied that its data folder is empty, or that it has
///   bootstrapped and no election has taken place. A reply with a higher term means that the cluster already
///   exists. The replica then does not bootstrap and waits to be added under a new identifier.
/// - A bootstrapped replica starts no election until every initial voter has bootstrapped. After the first
///   election, an initial voter with an empty data folder has therefore lost its disk.
///
/// The first start therefore needs all initial voters. Later starts need a quorum.
class ClusterFormation {
 public:
  ClusterFormation(StoreContext& context, const ReplicaLinks& replicas)
      : context_(context), replicas_(replicas) {}

  /// Must be called after the consensus module has recovered its state from disk.
  void begin(TimePoint now);
  /// Replies to another replica with the term stored in this replica's data folder.
  void onRequest(const Requester& requester);
  void onReply(const wire::FormationReplyT& reply, TimePoint now);
  /// @return true while this replica must not begin an election.
  bool defersElections() const;
  void onTimer(TimePoint now);
  TimePoint nextTimer() const { return isWaitingForReplies() ? next_request_at_ : TimePoint::max(); }

 private:
  /// @return the term stored on this replica's disk; 0 if the data folder is empty.
  consensus::Term storedTerm() const;
  bool isWaitingForReplies() const;
  void bootstrapIfAgreed(TimePoint now);
  /// Logs the initial voters that have not replied, at most once per kLogInterval.
  void logMissingVoters(TimePoint now);

  StoreContext& context_;
  const ReplicaLinks& replicas_;
  /// Stored terms that the other initial voters last reported.
  std::map<consensus::ReplicaId, consensus::Term> replies_;
  bool cluster_exists_ = false;
  TimePoint next_request_at_;
  TimePoint next_log_at_;
};

}  // namespace cometstand::store

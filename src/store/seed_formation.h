#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "store/membership_manager.h"
#include "store/replica_links.h"
#include "store/store_context.h"

namespace cometstand::store {

/// Bootstraps a cluster from seed addresses and lets further replicas join it. Used in place of
/// ClusterFormation when StoreOptions::seeds is not empty.
///
/// - The seeds are the initial voters. A seed with an empty data folder and the bootstrap flag bootstraps
///   only after every seed has replied with its identifier and none of them reports a term from an election.
///   It starts no election until every seed has bootstrapped. This prevents a second cluster from forming.
/// - Any other replica with an empty data folder, and any replica without a known leader for
///   kNoLeaderTimeout, sends join requests to the seeds and to the voters that it knows. The leader adds it
///   to the membership (see MembershipManager).
class SeedFormation {
 public:
  SeedFormation(StoreContext& context, MembershipManager& members) : context_(context), members_(members) {}

  bool enabled() const { return !context_.options.seeds.empty(); }
  void begin(TimePoint now);
  /// Ends the requests to join, so that a replica that is stopping is not added again.
  void beginStop() { is_stopping_ = true; }
  /// Sets further addresses that receive this replica's join requests. The initial voters remain the seeds
  /// from StoreOptions.
  void setSeeds(std::vector<runtime::Address> seeds) { added_seeds_ = std::move(seeds); }

  /// @return true if this object opened the link and the link has not closed.
  bool owns(runtime::LinkId link) const { return links_.contains(link); }
  void onLinkOpened(runtime::LinkId link, TimePoint now);
  void onLinkClosed(runtime::LinkId link);

  void onRequest(const Requester& requester, const wire::FormationRequestT& request, TimePoint now);
  void onReply(runtime::LinkId link, const wire::FormationReplyT& reply, TimePoint now);

  /// @return true while this replica must not begin an election.
  bool defersElections() const;
  void onTimer(TimePoint now);
  TimePoint nextTimer() const { return enabled() ? next_request_at_ : TimePoint::max(); }

 private:
  struct SeedReply {
    consensus::Term term = 0;
    wire::ReplicaT replica;
  };
  struct OutgoingLink {
    runtime::Address address;
    bool open = false;
  };

  consensus::Term storedTerm() const;
  bool isInitialVoter() const;
  /// @return true while this replica takes part in bootstrapping the cluster.
  bool isForming() const;
  bool shouldRequestJoin(TimePoint now) const;
  bool allSeedsReplied(consensus::Term at_least) const;
  void bootstrapIfAgreed(TimePoint now);
  /// Sends a request to the address, or connects to it if there is no link yet.
  void requestFrom(const runtime::Address& address);
  void sendRequest(runtime::LinkId link);
  void closeLinks();

  StoreContext& context_;
  MembershipManager& members_;
  /// Replies by the address that the request was sent to.
  std::map<runtime::Address, SeedReply> replies_;
  std::map<runtime::LinkId, OutgoingLink> links_;
  /// Addresses of the voters that replies listed.
  std::map<runtime::Address, bool> reported_voters_;
  std::vector<runtime::Address> added_seeds_;
  bool cluster_exists_ = false;
  bool is_stopping_ = false;
  TimePoint next_request_at_;
  TimePoint leader_known_at_;
};

/// @return the address on which the replica listens.
inline runtime::Address addressOf(const wire::ReplicaT& replica) { return {replica.address, replica.port}; }

}  // namespace cometstand::store

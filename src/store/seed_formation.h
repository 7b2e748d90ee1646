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
/// - The seeds are the initial voters. A seed with an empty data folder and the bootstrap flag bootstraps as
///   soon as every seed has replied with its identifier and none reports a term from an election. It starts
///   no election until every initial voter has bootstrapped, or kMissingSeedTimeout has passed.
/// - A seed that has not replied within kMissingSeedTimeout is left out, if the others are enough (see
///   mayLeaveOut()). It may have been lost during the first start.
/// - A seed that learns with which membership another one has bootstrapped adopts that one if it is listed,
///   and otherwise joins as a learner.
///
/// Two seeds may still begin with different memberships if the missing one appears in the moment in which it
/// is left out. These memberships differ by one replica, so that any quorum of the one shares a voter with
/// any quorum of the other, as in a change by one replica. Their first entries have different terms, all
/// below that of any election. So only one of the two can elect a leader, whose log then replaces the other
/// entry.
///
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
  /// @return true if each other initial voter has replied that it has bootstrapped.
  bool allVotersBootstrapped() const;
  /// @return positions in StoreOptions::seeds of those that have not replied.
  std::vector<std::size_t> missingSeeds() const;
  /// @return true if the missing seeds can be left out of the initial voters, because each quorum of the
  /// others is a majority of all seeds.
  bool mayLeaveOut(const std::vector<std::size_t>& missing, TimePoint now) const;
  void bootstrapIfAgreed(TimePoint now);
  /// Bootstraps with the membership with which the sender has, if this replica is listed there.
  void adoptMembership(const wire::FormationReplyT& reply, TimePoint now);
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
  /// kMissingSeedTimeout has passed since the start.
  bool is_overdue_ = false;
  TimePoint began_at_;
  TimePoint next_request_at_;
  TimePoint leader_known_at_;
};

/// @return the address on which the replica listens.
inline runtime::Address addressOf(const wire::ReplicaT& replica) { return {replica.address, replica.port}; }

}  // namespace cometstand::store

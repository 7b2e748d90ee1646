#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "store/membership_manager.h"
#include "store/replica_links.h"
#include "store/store_context.h"

namespace cometstand::store {

/// First start and joining of replicas that are told nothing but a few seed addresses. Used in place of
/// ClusterFormation when StoreOptions::seeds is not empty.
///
/// - The seeds are the first voters. A seed with an empty folder and the bootstrap flag bootstraps only once
/// every
///   seed answered, each with the id of its folder, and none of them has seen an election. It begins no
///   election before every seed has bootstrapped. So a second cluster never forms.
/// - Any other replica with an empty folder, and any replica that hears no leader for a while, asks the
/// members
///   that it knows and the seeds to be taken in; the leader adds it (MembershipManager).
class SeedFormation {
 public:
  SeedFormation(StoreContext& context, MembershipManager& members) : context_(context), members_(members) {}

  bool enabled() const { return !context_.options.seeds.empty(); }
  void begin(TimePoint now);
  /// These addresses are asked too from now on when this replica wants to join. The first voters stay the
  /// seeds of the start.
  void setSeeds(std::vector<runtime::Address> seeds) { later_seeds_ = std::move(seeds); }

  /// @return true if the link was opened by this object and has not ended.
  bool owns(runtime::LinkId link) const { return links_.contains(link); }
  void onLinkOpened(runtime::LinkId link, TimePoint now);
  void onLinkClosed(runtime::LinkId link);

  void onRequest(const Asker& asker, const wire::FormationRequestT& request, TimePoint now);
  void onReply(runtime::LinkId link, const wire::FormationReplyT& reply, TimePoint now);

  /// @return true while this replica must not begin an election.
  bool holdsElections() const;
  void onTimer(TimePoint now);
  TimePoint nextTimer() const { return enabled() ? ask_at_ : TimePoint::max(); }

 private:
  struct Answer {
    consensus::Term term = 0;
    wire::ReplicaT replica;
  };
  struct Contact {
    runtime::Address address;
    bool open = false;
  };

  consensus::Term storedTerm() const;
  bool isFirstVoter() const;
  /// @return true while this replica takes part in the first start.
  bool isForming() const;
  bool wantsToJoin(TimePoint now) const;
  bool allSeedsAnswered(consensus::Term at_least) const;
  void bootstrapIfAgreed(TimePoint now);
  void ask(const runtime::Address& address);
  void sendRequest(runtime::LinkId link);
  void closeAll();

  StoreContext& context_;
  MembershipManager& members_;
  /// By the seed's address.
  std::map<runtime::Address, Answer> answers_;
  std::map<runtime::LinkId, Contact> links_;
  /// Of members that an answer named.
  std::map<runtime::Address, bool> hinted_;
  std::vector<runtime::Address> later_seeds_;
  bool cluster_runs_ = false;
  TimePoint ask_at_;
  TimePoint leader_heard_at_;
};

/// @return where a replica listens.
inline runtime::Address addressOf(const wire::ReplicaT& replica) { return {replica.address, replica.port}; }

}  // namespace cometstand::store

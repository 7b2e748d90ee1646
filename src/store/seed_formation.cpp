#include "store/seed_formation.h"

#include <algorithm>
#include <memory>
#include <set>

#include "base/event_log.h"
#include "store/events.h"

namespace cometstand::store {
namespace {

/// The term that Consensus::bootstrap() stores. A higher term shows that an election has taken place.
constexpr consensus::Term kBootstrapTerm = 1;
constexpr Duration kRequestInterval = std::chrono::milliseconds(100);
/// Time without a known leader after which a replica sends join requests. It may have been removed from the
/// membership while it was down.
constexpr Duration kNoLeaderTimeout = std::chrono::milliseconds(1'500);

}  // namespace

using runtime::Address;
using runtime::LinkId;

consensus::Term SeedFormation::storedTerm() const {
  const auto leadership = context_.consensus.leadership();
  return leadership.role == consensus::Role::Joining ? 0 : leadership.term;
}

bool SeedFormation::isInitialVoter() const {
  const auto& seeds = context_.options.seeds;
  const bool is_seed = std::find(seeds.begin(), seeds.end(), addressOf(context_.options.self)) != seeds.end();
  return context_.options.bootstrap && is_seed;
}

bool SeedFormation::isForming() const {
  if (!enabled() || !isInitialVoter() || cluster_exists_ || storedTerm() > kBootstrapTerm) return false;
  return storedTerm() == 0 || !allSeedsReplied(kBootstrapTerm);
}

bool SeedFormation::defersElections() const { return isForming() && storedTerm() == kBootstrapTerm; }

bool SeedFormation::allSeedsReplied(consensus::Term at_least) const {
  const auto& seeds = context_.options.seeds;
  return std::all_of(seeds.begin(), seeds.end(), [&](const Address& seed) {
    if (seed == addressOf(context_.options.self)) return true;
    const auto reply = replies_.find(seed);
    return reply != replies_.end() && reply->second.term >= at_least;
  });
}

bool SeedFormation::shouldRequestJoin(TimePoint now) const {
  if (isForming() || is_stopping_) return false;
  const auto role = context_.consensus.leadership().role;
  if (role == consensus::Role::Joining) return true;
  return role != consensus::Role::Failed && now >= leader_known_at_ + kNoLeaderTimeout;
}

void SeedFormation::begin(TimePoint now) {
  next_request_at_ = now;
  // A replica that gave its vote away before it was stopped is no longer a member, and no leader contacts it.
  leader_known_at_ = now - kNoLeaderTimeout;
  if (enabled()) bootstrapIfAgreed(now);
}

void SeedFormation::onRequest(const Requester& requester, const wire::FormationRequestT& request,
                              TimePoint now) {
  if (request.joining != nullptr) members_.onJoinRequest(*request.joining, now);
  wire::FormationReplyT reply;
  reply.replica = context_.options.self.id;
  reply.term = storedTerm();
  reply.self = std::make_shared<wire::ReplicaT>(context_.options.self);
  reply.membership = std::make_shared<wire::MembershipT>(context_.consensus.membership());
  reply.leader = context_.consensus.leadership().leader;
  context_.actions.send(requester.link, reply, requester.request_id);
}

void SeedFormation::onReply(LinkId link, const wire::FormationReplyT& reply, TimePoint now) {
  const auto outgoing = links_.find(link);
  if (outgoing == links_.end() || reply.self == nullptr) return;
  replies_[outgoing->second.address] = {reply.term, *reply.self};
  if (reply.membership != nullptr) {
    for (const auto& voter : reply.membership->voters) reported_voters_[addressOf(*voter)] = true;
  }
  if (reply.term > kBootstrapTerm) cluster_exists_ = true;
  bootstrapIfAgreed(now);
}

void SeedFormation::bootstrapIfAgreed(TimePoint now) {
  if (!isInitialVoter() || cluster_exists_ || storedTerm() != 0 || !allSeedsReplied(0)) return;
  std::vector<wire::ReplicaT> voters{context_.options.self};
  for (const auto& seed : context_.options.seeds) {
    if (seed != addressOf(context_.options.self)) voters.push_back(replies_.at(seed).replica);
  }
  // All initial voters sort by identifier, because the first log entry must be identical on all of them.
  std::sort(voters.begin(), voters.end(),
            [](const wire::ReplicaT& left, const wire::ReplicaT& right) { return left.id < right.id; });
  wire::MembershipT membership;
  for (const auto& voter : voters) membership.voters.push_back(std::make_shared<wire::ReplicaT>(voter));
  context_.consensus.bootstrap(membership, now);
}

void SeedFormation::requestFrom(const Address& address) {
  const auto found = std::find_if(links_.begin(), links_.end(),
                                  [&](const auto& item) { return item.second.address == address; });
  if (found == links_.end()) {
    links_[context_.actions.connect(address)] = {address, false};
  } else if (found->second.open) {
    sendRequest(found->first);
  }
}

void SeedFormation::sendRequest(LinkId link) {
  wire::FormationRequestT request;
  if (!isForming()) request.joining = std::make_shared<wire::ReplicaT>(context_.options.self);
  context_.actions.send(link, request, 0);
}

void SeedFormation::onLinkOpened(LinkId link, TimePoint /*now*/) {
  links_.at(link).open = true;
  sendRequest(link);
}

void SeedFormation::onLinkClosed(LinkId link) { links_.erase(link); }

void SeedFormation::closeLinks() {
  for (const auto& [link, outgoing] : links_) context_.actions.close(link);
  links_.clear();
}

void SeedFormation::onTimer(TimePoint now) {
  if (!enabled() || now < next_request_at_) return;
  next_request_at_ = now + kRequestInterval;
  const auto leadership = context_.consensus.leadership();
  if (leadership.leader != 0) leader_known_at_ = now;
  if (!isForming() && !shouldRequestJoin(now)) {
    closeLinks();
    return;
  }
  std::set<Address> addresses(context_.options.seeds.begin(), context_.options.seeds.end());
  addresses.insert(added_seeds_.begin(), added_seeds_.end());
  for (const auto& [address, reported] : reported_voters_) addresses.insert(address);
  for (const auto& voter : context_.consensus.membership().voters) addresses.insert(addressOf(*voter));
  addresses.erase(addressOf(context_.options.self));
  for (const auto& address : addresses) requestFrom(address);
}

}  // namespace cometstand::store

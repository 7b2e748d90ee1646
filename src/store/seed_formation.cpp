#include "store/seed_formation.h"

#include <algorithm>
#include <memory>
#include <set>

#include "base/event_log.h"
#include "settings/units.h"
#include "store/events.h"

namespace cometstand::store {
namespace {

/// Term of the first log entry if all seeds are initial voters. Without one of the seeds, the term is higher
/// by one more than its position, so that it tells the membership.
constexpr consensus::Term kFullEntryTerm = 1;
/// Term of a replica that has bootstrapped, above that of any first entry. A higher term shows that an
/// election has taken place.
constexpr consensus::Term kBootstrapTerm = 16;
constexpr std::size_t kMaxSeedsToLeaveOut = 1;
/// Time for which a seed is waited for. Seeds start within a fraction of a second of each other.
constexpr Duration kMissingSeedTimeout = std::chrono::seconds(3);
constexpr Duration kRequestInterval = std::chrono::milliseconds(100);
/// Time without a known leader after which a replica sends join requests. It may have been removed from the
/// membership while it was down.
constexpr Duration kNoLeaderTimeout = std::chrono::milliseconds(1'500);

consensus::Term entryTermWithout(const std::vector<std::size_t>& missing) {
  return missing.empty() ? kFullEntryTerm : kFullEntryTerm + 1 + missing.front();
}

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
  return storedTerm() == 0 || !(is_overdue_ || allVotersBootstrapped());
}

bool SeedFormation::defersElections() const { return isForming() && storedTerm() == kBootstrapTerm; }

bool SeedFormation::allVotersBootstrapped() const {
  const auto membership = context_.consensus.membership();
  return std::all_of(membership.voters.begin(), membership.voters.end(), [this](const auto& voter) {
    if (voter->id == context_.options.self.id) return true;
    const auto reply = replies_.find(addressOf(*voter));
    return reply != replies_.end() && reply->second.term >= kBootstrapTerm;
  });
}

std::vector<std::size_t> SeedFormation::missingSeeds() const {
  const auto& seeds = context_.options.seeds;
  std::vector<std::size_t> missing;
  for (std::size_t i = 0; i < seeds.size(); ++i) {
    const bool is_known = seeds[i] == addressOf(context_.options.self) || replies_.contains(seeds[i]);
    if (!is_known) missing.push_back(i);
  }
  return missing;
}

bool SeedFormation::mayLeaveOut(const std::vector<std::size_t>& missing, TimePoint now) const {
  if (missing.empty()) return true;
  if (missing.size() > kMaxSeedsToLeaveOut || now < began_at_ + kMissingSeedTimeout) return false;
  if (entryTermWithout(missing) >= kBootstrapTerm) return false;
  const auto all = context_.options.seeds.size();
  const auto quorum = (all - missing.size()) / 2 + 1;
  return 2 * quorum > all;
}

bool SeedFormation::shouldRequestJoin(TimePoint now) const {
  if (isForming() || is_stopping_) return false;
  const auto role = context_.consensus.leadership().role;
  if (role == consensus::Role::Joining) return true;
  return role != consensus::Role::Failed && now >= leader_known_at_ + kNoLeaderTimeout;
}

void SeedFormation::begin(TimePoint now) {
  next_request_at_ = now;
  began_at_ = now;
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
  reply.first_entry_term = context_.consensus.firstEntryTerm();
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
  adoptMembership(reply, now);
  bootstrapIfAgreed(now);
}

/// An empty folder under this replica's identifier shows that it has never voted or stored an entry, so that
/// it may begin with any membership that lists it.
void SeedFormation::adoptMembership(const wire::FormationReplyT& reply, TimePoint now) {
  if (storedTerm() != 0 || reply.term != kBootstrapTerm || reply.membership == nullptr) return;
  if (consensus::isVoter(*reply.membership, context_.options.self.id)) {
    context_.consensus.bootstrap(*reply.membership, {reply.first_entry_term, kBootstrapTerm}, now);
  } else {
    cluster_exists_ = true;
  }
}

void SeedFormation::bootstrapIfAgreed(TimePoint now) {
  if (!isInitialVoter() || cluster_exists_ || storedTerm() != 0) return;
  const auto missing = missingSeeds();
  if (!mayLeaveOut(missing, now)) return;
  std::vector<wire::ReplicaT> voters{context_.options.self};
  for (const auto& seed : context_.options.seeds) {
    const auto reply = replies_.find(seed);
    if (seed != addressOf(context_.options.self) && reply != replies_.end())
      voters.push_back(reply->second.replica);
  }
  // All initial voters sort by identifier, because the first log entry must be identical on all of them.
  std::sort(voters.begin(), voters.end(),
            [](const wire::ReplicaT& left, const wire::ReplicaT& right) { return left.id < right.id; });
  wire::MembershipT membership;
  for (const auto& voter : voters) membership.voters.push_back(std::make_shared<wire::ReplicaT>(voter));
  if (!missing.empty()) {
    const auto& seed = context_.options.seeds.at(missing.front());
    logEvent(kSeedLeftOut, {{"seed", settings::formatAddress(seed)}});
  }
  context_.consensus.bootstrap(membership, {entryTermWithout(missing), kBootstrapTerm}, now);
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
  is_overdue_ = now >= began_at_ + kMissingSeedTimeout;
  bootstrapIfAgreed(now);
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

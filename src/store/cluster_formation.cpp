#include "store/cluster_formation.h"

#include <fmt/ranges.h>

#include <algorithm>
#include <memory>
#include <vector>

#include "base/event_log.h"
#include "store/events.h"

namespace cometstand::store {
namespace {

/// The term that Consensus::bootstrap() stores. A higher term shows that an election has taken place.
constexpr consensus::Term kBootstrapTerm = 1;
constexpr Duration kRequestInterval = std::chrono::milliseconds(100);
constexpr Duration kLogInterval = std::chrono::seconds(10);

}  // namespace

consensus::Term ClusterFormation::storedTerm() const {
  const auto leadership = context_.consensus.leadership();
  return leadership.role == consensus::Role::Joining ? 0 : leadership.term;
}

bool ClusterFormation::isWaitingForReplies() const {
  if (!context_.options.seeds.empty()) return false;
  return context_.options.bootstrap && !cluster_exists_ && storedTerm() <= kBootstrapTerm &&
         (storedTerm() == 0 || defersElections());
}

bool ClusterFormation::defersElections() const {
  if (!context_.options.bootstrap || cluster_exists_ || storedTerm() != kBootstrapTerm) return false;
  const auto& voters = context_.options.initial_voters;
  return !std::all_of(voters.begin(), voters.end(), [this](const wire::ReplicaT& voter) {
    const auto reply = replies_.find(voter.id);
    return voter.id == context_.options.self.id ||
           (reply != replies_.end() && reply->second >= kBootstrapTerm);
  });
}

void ClusterFormation::begin(TimePoint now) {
  if (!context_.options.seeds.empty()) return;
  next_request_at_ = now;
  next_log_at_ = now + kLogInterval;
  bootstrapIfAgreed(now);
}

void ClusterFormation::onRequest(const Requester& requester) {
  wire::FormationReplyT reply;
  reply.replica = context_.options.self.id;
  reply.term = storedTerm();
  context_.actions.send(requester.link, reply, requester.request_id);
}

void ClusterFormation::onReply(const wire::FormationReplyT& reply, TimePoint now) {
  if (!isWaitingForReplies()) return;
  replies_[reply.replica] = reply.term;
  if (reply.term > kBootstrapTerm) {
    cluster_exists_ = true;
    if (storedTerm() == 0)
      logEvent(kBootstrapRefused, {{"replica", context_.options.self.id}, {"term", reply.term}});
    return;
  }
  bootstrapIfAgreed(now);
}

void ClusterFormation::bootstrapIfAgreed(TimePoint now) {
  if (!context_.options.bootstrap || cluster_exists_ || storedTerm() != 0) return;
  wire::MembershipT membership;
  for (const auto& voter : context_.options.initial_voters) {
    if (voter.id != context_.options.self.id && !replies_.contains(voter.id)) return;
    membership.voters.push_back(std::make_shared<wire::ReplicaT>(voter));
  }
  context_.consensus.bootstrap(membership, {kBootstrapTerm, kBootstrapTerm}, now);
}

void ClusterFormation::onTimer(TimePoint now) {
  if (!isWaitingForReplies() || now < next_request_at_) return;
  next_request_at_ = now + kRequestInterval;
  logMissingVoters(now);
  for (const auto& voter : context_.options.initial_voters) {
    if (const auto link = replicas_.linkTo(voter.id))
      context_.actions.send(*link, wire::FormationRequestT(), 0);
  }
}

void ClusterFormation::logMissingVoters(TimePoint now) {
  if (now < next_log_at_) return;
  next_log_at_ = now + kLogInterval;
  std::vector<consensus::ReplicaId> missing;
  for (const auto& voter : context_.options.initial_voters) {
    if (voter.id != context_.options.self.id && !replies_.contains(voter.id)) missing.push_back(voter.id);
  }
  logEvent(kFormationWaiting,
           {{"replica", context_.options.self.id}, {"missing", fmt::format("{}", fmt::join(missing, ","))}});
}

}  // namespace cometstand::store

#include "store/cluster_formation.h"

#include <fmt/ranges.h>

#include <algorithm>
#include <memory>
#include <vector>

#include "base/event_log.h"
#include "store/events.h"

namespace cometstand::store {
namespace {

/// The term that Consensus::bootstrap() stores; elections raise it.
constexpr consensus::Term kBootstrapTerm = 1;
constexpr Duration kAskInterval = std::chrono::milliseconds(100);
constexpr Duration kLogInterval = std::chrono::seconds(10);

}  // namespace

consensus::Term ClusterFormation::storedTerm() const {
  const auto leadership = context_.consensus.leadership();
  return leadership.role == consensus::Role::Joining ? 0 : leadership.term;
}

bool ClusterFormation::isAsking() const {
  if (!context_.options.seeds.empty()) return false;
  return context_.options.bootstrap && !cluster_runs_ && storedTerm() <= kBootstrapTerm &&
         (storedTerm() == 0 || holdsElections());
}

bool ClusterFormation::holdsElections() const {
  if (!context_.options.bootstrap || cluster_runs_ || storedTerm() != kBootstrapTerm) return false;
  const auto& voters = context_.options.initial_voters;
  return !std::all_of(voters.begin(), voters.end(), [this](const wire::ReplicaT& voter) {
    const auto answer = answers_.find(voter.id);
    return voter.id == context_.options.self.id ||
           (answer != answers_.end() && answer->second >= kBootstrapTerm);
  });
}

void ClusterFormation::begin(TimePoint now) {
  if (!context_.options.seeds.empty()) return;
  ask_at_ = now;
  log_at_ = now + kLogInterval;
  bootstrapIfAgreed(now);
}

void ClusterFormation::onRequest(const Asker& asker) {
  wire::FormationReplyT reply;
  reply.replica = context_.options.self.id;
  reply.term = storedTerm();
  context_.actions.send(asker.link, reply, asker.request_id);
}

void ClusterFormation::onReply(const wire::FormationReplyT& reply, TimePoint now) {
  if (!isAsking()) return;
  answers_[reply.replica] = reply.term;
  if (reply.term > kBootstrapTerm) {
    cluster_runs_ = true;
    if (storedTerm() == 0)
      logEvent(kBootstrapRefused, {{"replica", context_.options.self.id}, {"term", reply.term}});
    return;
  }
  bootstrapIfAgreed(now);
}

void ClusterFormation::bootstrapIfAgreed(TimePoint now) {
  if (!context_.options.bootstrap || cluster_runs_ || storedTerm() != 0) return;
  wire::MembershipT membership;
  for (const auto& voter : context_.options.initial_voters) {
    if (voter.id != context_.options.self.id && !answers_.contains(voter.id)) return;
    membership.voters.push_back(std::make_shared<wire::ReplicaT>(voter));
  }
  context_.consensus.bootstrap(membership, now);
}

void ClusterFormation::onTimer(TimePoint now) {
  if (!isAsking() || now < ask_at_) return;
  ask_at_ = now + kAskInterval;
  logWaiting(now);
  for (const auto& voter : context_.options.initial_voters) {
    if (const auto link = replicas_.linkTo(voter.id))
      context_.actions.send(*link, wire::FormationRequestT(), 0);
  }
}

void ClusterFormation::logWaiting(TimePoint now) {
  if (now < log_at_) return;
  log_at_ = now + kLogInterval;
  std::vector<consensus::ReplicaId> missing;
  for (const auto& voter : context_.options.initial_voters) {
    if (voter.id != context_.options.self.id && !answers_.contains(voter.id)) missing.push_back(voter.id);
  }
  logEvent(kFormationWaiting,
           {{"replica", context_.options.self.id}, {"missing", fmt::format("{}", fmt::join(missing, ","))}});
}

}  // namespace cometstand::store

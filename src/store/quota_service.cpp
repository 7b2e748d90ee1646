#include "store/quota_service.h"

#include <map>
#include <string>
#include <utility>

#include "base/error.h"
#include "base/event_log.h"
#include "mesh/configuration.h"
#include "store/events.h"

namespace cometstand::store {
namespace {

std::map<std::string, QuotaLimit> limitsOf(const wire::MeshConfigurationT& configuration) {
  std::map<std::string, QuotaLimit> limits;
  for (const auto& tenant : configuration.tenants) {
    const QuotaLimit limit{tenant->requests_per_second, tenant->burst};
    if (limit.isSet()) limits.emplace(tenant->name, limit);
  }
  return limits;
}

}  // namespace

void LeadershipHistory::note(const consensus::Leadership& leadership, TimePoint now) {
  if (leadership.leader == 0 || leadership.term == term_) return;
  term_ = leadership.term;
  since_ = now;
}

bool LeadershipHistory::knowsOnlyOneBefore(consensus::Term term, Duration time, TimePoint now) const {
  // A term that this replica has not seen may have had a leader.
  return term_ != 0 && term_ + 1 == term && since_ + time <= now;
}

QuotaService::QuotaService(StoreContext& context) : context_(context), ledger_(context.options.quota) {}

void QuotaService::onRequest(runtime::LinkId link, const wire::QuotaRequestT& request, TimePoint now) {
  auto answer = ledger_.onRequest(link, request, now);
  const auto leader = ledger_.isLeading() ? std::nullopt : context_.otherLeader();
  if (leader) {
    answer.leader = std::make_shared<wire::NetworkEndpointT>();
    answer.leader->host = leader->host;
    answer.leader->port = leader->port;
  }
  context_.actions.send(link, std::move(answer), 0);
}

void QuotaService::onLeadership(const consensus::Leadership& leadership, TimePoint now) {
  const bool leads = leadership.role == consensus::Role::Leader;
  if (!leads) ledger_.end();
  if (leads && ledger_.generation() != leadership.term) {
    const bool only_one = history_.knowsOnlyOneBefore(leadership.term, QuotaLedger::kGenerationTime, now);
    ledger_.begin(leadership.term, only_one, now);
    logEvent(kQuotaBegan, {{"generation", leadership.term}, {"at_once", only_one}});
  }
  history_.note(leadership, now);
}

void QuotaService::onQuorumRound(const consensus::QuorumRound& round) { ledger_.confirm(round.began_at); }

void QuotaService::onApplied(TimePoint now) {
  const auto& mesh = context_.state.mesh();
  if (mesh.revision() == revision_) return;
  revision_ = mesh.revision();
  try {
    ledger_.setLimits(limitsOf(mesh::decodeConfiguration(mesh.configuration())), now);
  } catch (const Error& error) {
    // Sidecars cannot read it either, and go on by the one before.
    logEvent(kQuotaUnreadable, {{"revision", revision_}, {"reason", error.what()}});
  }
}

}  // namespace cometstand::store

#include "store/quota_service.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

#include "base/error.h"
#include "base/event_log.h"
#include "mesh/configuration.h"
#include "store/events.h"

namespace cometstand::store {
namespace {

constexpr Duration kRecordRetryDelay = std::chrono::milliseconds(50);

std::map<std::string, QuotaLimit> limitsOf(const wire::MeshConfigurationT& configuration) {
  std::map<std::string, QuotaLimit> limits;
  for (const auto& tenant : configuration.tenants) {
    const QuotaLimit limit{tenant->requests_per_second, tenant->burst};
    if (limit.isSet()) limits.emplace(tenant->name, limit);
  }
  return limits;
}

}  // namespace

QuotaService::QuotaService(StoreContext& context) : context_(context), ledger_(context.options.quota) {}

void QuotaService::onRequest(runtime::LinkId link, const wire::QuotaRequestT& request, TimePoint now) {
  auto response = ledger_.onRequest(link, request, now);
  const auto leader = ledger_.isLeading() ? std::nullopt : context_.remoteLeader();
  if (leader) {
    response.leader = std::make_shared<wire::NetworkEndpointT>();
    response.leader->host = leader->host;
    response.leader->port = leader->port;
  }
  context_.actions.send(link, std::move(response), 0);
}

void QuotaService::onLeadership(const consensus::Leadership& leadership, TimePoint now) {
  const bool leads = leadership.role == consensus::Role::Leader;
  if (leads && leadership_ && leadership_->term == leadership.term) return;
  ledger_.endLeadership();
  leadership_.reset();
  if (leads) leadership_ = LeadershipState{leadership.term, now, 0};
}

TimePoint QuotaService::nextRecordTime() const {
  if (!leadership_ || !has_limits_ || !proposals_.idle() || leadership_->live == 1) return TimePoint::max();
  const bool is_recorded = leadership_->live > 0;
  return is_recorded ? std::max(retry_at_, leadership_->since + QuotaLedger::kGenerationExpiry) : retry_at_;
}

void QuotaService::step(TimePoint now) {
  if (now < nextRecordTime()) return;
  const bool earlier_are_void = leadership_->live > 0;
  proposeRecord(earlier_are_void, now);
}

void QuotaService::proposeRecord(bool earlier_are_void, TimePoint now) {
  wire::QuotaLeadershipT record;
  record.generation = leadership_->term;
  record.earlier_are_void = earlier_are_void;
  const auto on_recorded = [this, term = leadership_->term](const CommandResult* result) {
    onRecorded(term, result);
  };
  // Proposals are rejected during a leadership transfer.
  if (!proposals_.propose(record, on_recorded, now)) retry_at_ = now + kRecordRetryDelay;
}

void QuotaService::onRecorded(consensus::Term term, const CommandResult* result) {
  const bool is_current = leadership_ && leadership_->term == term;
  if (!is_current || result == nullptr) return;
  const bool is_first = leadership_->live == 0;
  leadership_->live = std::get<QuotaLeadershipResult>(*result).live;
  if (is_first) ledger_.beginLeadership(term, leadership_->live, leadership_->since);
  logEvent(kQuotaBegan, {{"generation", term}, {"live", leadership_->live}});
}

TimePoint QuotaService::nextTimer() const { return std::min(nextRecordTime(), proposals_.nextTimer()); }

void QuotaService::onQuorumRound(const consensus::QuorumRound& round) {
  ledger_.confirmLeadership(round.began_at);
}

void QuotaService::refreshLimits(TimePoint now) {
  const auto& mesh = context_.state.mesh();
  if (mesh.revision() == revision_) return;
  revision_ = mesh.revision();
  try {
    auto limits = limitsOf(mesh::decodeConfiguration(mesh.configuration()));
    has_limits_ = !limits.empty();
    ledger_.setLimits(std::move(limits), now);
  } catch (const Error& error) {
    // Sidecars cannot decode this revision either and keep using the previous one.
    logEvent(kQuotaUnreadable, {{"revision", revision_}, {"reason", error.what()}});
  }
}

}  // namespace cometstand::store

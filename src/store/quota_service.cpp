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

constexpr Duration kRecordRetry = std::chrono::milliseconds(50);

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
  if (leads && leading_ && leading_->term == leadership.term) return;
  ledger_.end();
  leading_.reset();
  if (leads) leading_ = Leading{leadership.term, now, 0};
}

TimePoint QuotaService::recordDue() const {
  if (!leading_ || !has_limits_ || !proposals_.idle() || leading_->live == 1) return TimePoint::max();
  const bool is_recorded = leading_->live > 0;
  return is_recorded ? std::max(retry_at_, leading_->since + QuotaLedger::kGenerationTime) : retry_at_;
}

void QuotaService::step(TimePoint now) {
  if (now < recordDue()) return;
  const bool earlier_are_void = leading_->live > 0;
  record(earlier_are_void, now);
}

void QuotaService::record(bool earlier_are_void, TimePoint now) {
  wire::QuotaLeadershipT record;
  record.generation = leading_->term;
  record.earlier_are_void = earlier_are_void;
  const auto on_recorded = [this, term = leading_->term](const CommandResult* result) {
    onRecorded(term, result);
  };
  // While leadership is handed over nothing is taken.
  if (!proposals_.propose(record, on_recorded, now)) retry_at_ = now + kRecordRetry;
}

void QuotaService::onRecorded(consensus::Term term, const CommandResult* result) {
  const bool is_current = leading_ && leading_->term == term;
  if (!is_current || result == nullptr) return;
  const bool is_first = leading_->live == 0;
  leading_->live = std::get<QuotaLeadershipResult>(*result).live;
  if (is_first) ledger_.begin(term, leading_->live, leading_->since);
  logEvent(kQuotaBegan, {{"generation", term}, {"live", leading_->live}});
}

TimePoint QuotaService::nextTimer() const { return std::min(recordDue(), proposals_.nextTimer()); }

void QuotaService::onQuorumRound(const consensus::QuorumRound& round) { ledger_.confirm(round.began_at); }

void QuotaService::refreshLimits(TimePoint now) {
  const auto& mesh = context_.state.mesh();
  if (mesh.revision() == revision_) return;
  revision_ = mesh.revision();
  try {
    auto limits = limitsOf(mesh::decodeConfiguration(mesh.configuration()));
    has_limits_ = !limits.empty();
    ledger_.setLimits(std::move(limits), now);
  } catch (const Error& error) {
    // Sidecars cannot read it either, and go on by the one before.
    logEvent(kQuotaUnreadable, {{"revision", revision_}, {"reason", error.what()}});
  }
}

}  // namespace cometstand::store

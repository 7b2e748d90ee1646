#include "sidecar/tenant_quota.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cometstand::sidecar {
namespace {

/// Time constant of the smoothed request rate.
constexpr double kDemandTimeConstantSeconds = 1;
/// Tokens are requested in advance for the requests expected in this time: two report intervals.
constexpr double kPrefetchSeconds = 0.4;
/// No tokens are requested in advance for a tenant with fewer requests a second: more than half of them would
/// stay unused, and renewing them would cost more than a round trip to the leader for each request.
constexpr double kMinPrefetchDemand = 0.5;
/// Tokens that have been unused for this time are returned: three report intervals.
constexpr Duration kIdleTime = std::chrono::milliseconds(600);
/// Time after a denial in which further requests are refused without asking the leader: half a report
/// interval.
constexpr Duration kDenialCacheTime = std::chrono::milliseconds(100);
/// The account of a tenant with fewer requests a second and without tokens is removed.
constexpr double kMinTrackedDemand = 0.01;

double decayed(double demand, Duration time) {
  return demand * std::exp(-std::chrono::duration<double>(time).count() / kDemandTimeConstantSeconds);
}

}  // namespace

std::uint64_t TenantQuota::Account::free() const {
  std::uint64_t tokens = 0;
  for (const auto& batch : batches) tokens += batch.count;
  return tokens;
}

std::uint64_t TenantQuota::heldOf(const Account& account) const {
  std::uint64_t tokens = account.in_use;
  for (const auto& batch : account.batches) {
    if (batch.token.generation == generation_) tokens += batch.count;
  }
  return tokens;
}

void TenantQuota::dropExpired(Account& account, TimePoint now) {
  std::erase_if(account.batches,
                [now](const Batch& batch) { return batch.count == 0 || batch.token.expires_at <= now; });
}

void TenantQuota::noteRequest(const std::string& tenant, TimePoint now) {
  auto& account = accounts_[tenant];
  account.demand = decayed(account.demand, now - account.demand_at) + 1 / kDemandTimeConstantSeconds;
  account.demand_at = now;
}

std::optional<TenantQuota::Decision> TenantQuota::takeHeld(Account& account, TimePoint now) {
  dropExpired(account, now);
  if (!account.batches.empty()) {
    auto& batch = account.batches.front();
    const QuotaToken token = batch.token;
    --batch.count;
    if (token.generation == generation_) ++account.in_use;
    return Decision{Verdict::Granted, token, {}};
  }
  if (now < account.denied_until) return Decision{Verdict::Denied, {}, account.retry_after};
  return std::nullopt;
}

TenantQuota::Decision TenantQuota::take(const std::string& tenant, TimePoint now) {
  auto& account = accounts_[tenant];
  if (const auto decision = takeHeld(account, now)) return *decision;
  // While no leader answers, only one request per retry interval waits, to probe for a new leader.
  const bool is_leaderless = !has_leader_ && (requested_at_ || now < retry_at_);
  if (is_leaderless) return {Verdict::Denied, {}, kLeaderlessRetryAfter};
  ++account.waiting;
  requestForWaiting(now);
  return {Verdict::Wait, {}, {}};
}

TenantQuota::Decision TenantQuota::takeAfterWait(const std::string& tenant, TimePoint now) {
  const auto decision = takeHeld(accounts_[tenant], now);
  if (!decision) return {Verdict::Wait, {}, {}};
  stopWaiting(tenant);
  return *decision;
}

void TenantQuota::stopWaiting(const std::string& tenant) {
  auto& account = accounts_[tenant];
  account.waiting -= std::min<std::uint64_t>(1, account.waiting);
}

void TenantQuota::release(const std::string& tenant, const QuotaToken& token, bool ran, TimePoint now) {
  if (token.generation != generation_) return;
  auto& account = accounts_[tenant];
  account.in_use -= std::min<std::uint64_t>(1, account.in_use);
  if (!ran && now < token.expires_at) account.batches.insert(account.batches.begin(), {token, 1, now});
}

std::uint64_t TenantQuota::prefetchCount(const Account& account, TimePoint now) {
  const double demand = decayed(account.demand, now - account.demand_at);
  if (demand < kMinPrefetchDemand) return 0;
  const auto wanted = static_cast<std::uint64_t>(std::ceil(demand * kPrefetchSeconds));
  const std::uint64_t free = account.free();
  return free >= wanted ? 0 : wanted - free;
}

std::uint64_t TenantQuota::removeIdle(Account& account, TimePoint now) const {
  std::uint64_t idle = 0;
  for (auto& batch : account.batches) {
    if (batch.token.generation != generation_ || now < batch.received_at + kIdleTime) continue;
    idle += std::exchange(batch.count, 0);
  }
  dropExpired(account, now);
  return idle;
}

std::shared_ptr<wire::QuotaNeedT> TenantQuota::makeNeed(const std::string& tenant, Account& account,
                                                        TimePoint now) {
  auto need = std::make_shared<wire::QuotaNeedT>();
  need->tenant = tenant;
  need->returned = static_cast<std::uint32_t>(removeIdle(account, now));
  need->held = static_cast<std::uint32_t>(heldOf(account));
  need->need = static_cast<std::uint32_t>(account.waiting);
  need->ahead = static_cast<std::uint32_t>(prefetchCount(account, now));
  account.reported_held = need->held;
  return need;
}

bool TenantQuota::hasChanges(const Account& account, TimePoint now) const {
  const bool has_idle =
      std::any_of(account.batches.begin(), account.batches.end(), [this, now](const Batch& batch) {
        return batch.token.generation == generation_ && now >= batch.received_at + kIdleTime;
      });
  return has_idle || account.reported_held != heldOf(account) || prefetchCount(account, now) > 0;
}

/// Sends the leader a request for tokens.
/// @param is_full_report true to include all tenants with changes; false for tenants with waiting requests
/// only.
void TenantQuota::requestTokens(bool is_full_report, TimePoint now) {
  wire::QuotaRequestT request;
  for (auto& [tenant, account] : accounts_) {
    dropExpired(account, now);
    if (account.waiting > 0 || (is_full_report && hasChanges(account, now)))
      request.needs.push_back(makeNeed(tenant, account, now));
  }
  if (request.needs.empty()) return;
  request.sequence = ++sequence_;
  request.acknowledged = acknowledged_;
  request.generation = generation_;
  requested_store_ = send_request_(request, leader_, unresponsive_store_);
  if (requested_store_) {
    requested_at_ = now;
  } else {
    onNoLeader(now);
  }
}

void TenantQuota::requestForWaiting(TimePoint now) {
  const bool waits = std::any_of(accounts_.begin(), accounts_.end(),
                                 [](const auto& item) { return item.second.waiting > 0; });
  if (waits && !requested_at_) requestTokens(false, now);
}

/// Handles that the requested store is not the leader or did not answer, or that no store is connected.
void TenantQuota::onNoLeader(TimePoint now) {
  requested_at_.reset();
  has_leader_ = false;
  unresponsive_store_ = requested_store_;
  leader_.reset();
  retry_at_ = now + kRetryInterval;
}

bool TenantQuota::onGrant(const Address& from, const wire::QuotaGrantT& grant, TimePoint now) {
  if (!requested_at_ || grant.sequence != sequence_) return false;
  const TimePoint requested_at = *requested_at_;
  if (grant.generation == 0) {
    onNoLeader(now);
    unresponsive_store_.reset();
    if (grant.leader == nullptr) return false;
    leader_ = Address{grant.leader->host, grant.leader->port};
    retry_at_ = now + kRedirectInterval;
    return false;
  }
  requested_at_.reset();
  has_leader_ = true;
  leader_ = from;
  unresponsive_store_.reset();
  if (std::exchange(generation_, grant.generation) != grant.generation) {
    for (auto& [tenant, account] : accounts_) account.in_use = 0;
  }
  acknowledged_ = grant.sequence;
  for (const auto& share : grant.shares) {
    auto& account = accounts_[share->tenant];
    const QuotaToken token{generation_, requested_at + std::chrono::milliseconds(grant.valid_ms)};
    if (share->granted > 0) account.batches.push_back({token, share->granted, now});
    account.reported_held += share->granted;
    if (share->retry_after_ms == 0) continue;
    account.retry_after = std::chrono::milliseconds(share->retry_after_ms);
    account.denied_until = now + kDenialCacheTime;
  }
  return true;
}

void TenantQuota::onTimer(TimePoint now) {
  if (requested_at_ && now >= *requested_at_ + kAnswerTimeout) onNoLeader(now);
  const bool is_retry = !has_leader_ && now >= retry_at_;
  if (requested_at_ || (now < next_report_at_ && !is_retry)) return;
  next_report_at_ = now + kReportInterval;
  if (!has_leader_) retry_at_ = now + kRetryInterval;
  std::erase_if(accounts_, [this, now](const auto& item) { return isRemovable(item.second, now); });
  requestTokens(true, now);
}

bool TenantQuota::isRemovable(const Account& account, TimePoint now) const {
  const bool is_empty = account.waiting == 0 && account.in_use == 0 && account.batches.empty();
  return is_empty && account.reported_held == 0 &&
         decayed(account.demand, now - account.demand_at) < kMinTrackedDemand;
}

TimePoint TenantQuota::nextTimer() const {
  if (accounts_.empty()) return TimePoint::max();
  if (requested_at_) return *requested_at_ + kAnswerTimeout;
  return has_leader_ ? next_report_at_ : std::min(next_report_at_, retry_at_);
}

}  // namespace cometstand::sidecar

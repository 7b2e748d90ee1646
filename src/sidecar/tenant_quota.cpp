#include "sidecar/tenant_quota.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cometstand::sidecar {
namespace {

/// Time constant of the smoothed demand.
constexpr double kDemandSeconds = 1;
/// Tokens are wanted ahead for the requests of this time: two rounds.
constexpr double kAheadSeconds = 0.4;
/// A tenant with fewer requests a second gets no token ahead: more than half of these would lie idle, and
/// each way to the leader costs less than renewing them.
constexpr double kLeastDemand = 0.5;
/// Tokens that lay unused for so long are given back: as long as three rounds.
constexpr Duration kIdleTime = std::chrono::milliseconds(600);
/// After a denial requests are refused at once for this time; half a round.
constexpr Duration kDenialTime = std::chrono::milliseconds(100);
/// A tenant without requests for so long is forgotten.
constexpr double kForgottenDemand = 0.01;

double decayed(double demand, Duration time) {
  return demand * std::exp(-std::chrono::duration<double>(time).count() / kDemandSeconds);
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

void TenantQuota::dropVoid(Account& account, TimePoint now) {
  std::erase_if(account.batches,
                [now](const Batch& batch) { return batch.count == 0 || batch.token.void_at <= now; });
}

void TenantQuota::noteRequest(const std::string& tenant, TimePoint now) {
  auto& account = accounts_[tenant];
  account.demand = decayed(account.demand, now - account.demand_at) + 1 / kDemandSeconds;
  account.demand_at = now;
}

std::optional<TenantQuota::Decision> TenantQuota::takeHeld(Account& account, TimePoint now) {
  dropVoid(account, now);
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
  // While no leader answers, one request now and then finds out whether there is one again.
  const bool is_hopeless = !is_answered_ && (asked_at_ || now < retry_at_);
  if (is_hopeless) return {Verdict::Denied, {}, kLeaderlessRetry};
  ++account.waiting;
  askForWaiting(now);
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

void TenantQuota::settle(const std::string& tenant, const QuotaToken& token, bool ran, TimePoint now) {
  if (token.generation != generation_) return;
  auto& account = accounts_[tenant];
  account.in_use -= std::min<std::uint64_t>(1, account.in_use);
  if (!ran && now < token.void_at) account.batches.insert(account.batches.begin(), {token, 1, now});
}

std::uint64_t TenantQuota::aheadOf(const Account& account, TimePoint now) {
  const double demand = decayed(account.demand, now - account.demand_at);
  if (demand < kLeastDemand) return 0;
  const auto wanted = static_cast<std::uint64_t>(std::ceil(demand * kAheadSeconds));
  const std::uint64_t free = account.free();
  return free >= wanted ? 0 : wanted - free;
}

std::uint64_t TenantQuota::takeIdle(Account& account, TimePoint now) const {
  std::uint64_t idle = 0;
  for (auto& batch : account.batches) {
    if (batch.token.generation != generation_ || now < batch.came + kIdleTime) continue;
    idle += std::exchange(batch.count, 0);
  }
  dropVoid(account, now);
  return idle;
}

std::shared_ptr<wire::QuotaNeedT> TenantQuota::needOf(const std::string& tenant, Account& account,
                                                      TimePoint now) {
  auto need = std::make_shared<wire::QuotaNeedT>();
  need->tenant = tenant;
  need->returned = static_cast<std::uint32_t>(takeIdle(account, now));
  need->held = static_cast<std::uint32_t>(heldOf(account));
  need->need = static_cast<std::uint32_t>(account.waiting);
  need->ahead = static_cast<std::uint32_t>(aheadOf(account, now));
  account.told_held = need->held;
  return need;
}

bool TenantQuota::hasNews(const Account& account, TimePoint now) const {
  const bool has_idle =
      std::any_of(account.batches.begin(), account.batches.end(), [this, now](const Batch& batch) {
        return batch.token.generation == generation_ && now >= batch.came + kIdleTime;
      });
  return has_idle || account.told_held != heldOf(account) || aheadOf(account, now) > 0;
}

/// @param is_round true: of all tenants of whom there is anything to tell; else of those with requests that
/// wait.
void TenantQuota::ask(bool is_round, TimePoint now) {
  wire::QuotaRequestT request;
  for (auto& [tenant, account] : accounts_) {
    dropVoid(account, now);
    if (account.waiting > 0 || (is_round && hasNews(account, now)))
      request.needs.push_back(needOf(tenant, account, now));
  }
  if (request.needs.empty()) return;
  request.sequence = ++sequence_;
  request.acknowledged = acknowledged_;
  request.generation = generation_;
  asked_ = ask_(request, leader_, silent_);
  if (asked_) {
    asked_at_ = now;
  } else {
    onSilence(now);
  }
}

void TenantQuota::askForWaiting(TimePoint now) {
  const bool waits = std::any_of(accounts_.begin(), accounts_.end(),
                                 [](const auto& item) { return item.second.waiting > 0; });
  if (waits && !asked_at_) ask(false, now);
}

/// The store that was asked does not lead, does not answer, or is not there.
void TenantQuota::onSilence(TimePoint now) {
  asked_at_.reset();
  is_answered_ = false;
  silent_ = asked_;
  leader_.reset();
  retry_at_ = now + kRetryInterval;
}

bool TenantQuota::onGrant(const Address& from, const wire::QuotaGrantT& grant, TimePoint now) {
  if (!asked_at_ || grant.sequence != sequence_) return false;
  const TimePoint asked_at = *asked_at_;
  if (grant.generation == 0) {
    onSilence(now);
    silent_.reset();
    if (grant.leader == nullptr) return false;
    leader_ = Address{grant.leader->host, grant.leader->port};
    retry_at_ = now + kRedirectInterval;
    return false;
  }
  asked_at_.reset();
  is_answered_ = true;
  leader_ = from;
  silent_.reset();
  if (std::exchange(generation_, grant.generation) != grant.generation) {
    for (auto& [tenant, account] : accounts_) account.in_use = 0;
  }
  acknowledged_ = grant.sequence;
  for (const auto& share : grant.shares) {
    auto& account = accounts_[share->tenant];
    const QuotaToken token{generation_, asked_at + std::chrono::milliseconds(grant.valid_ms)};
    if (share->granted > 0) account.batches.push_back({token, share->granted, now});
    account.told_held += share->granted;
    if (share->retry_after_ms == 0) continue;
    account.retry_after = std::chrono::milliseconds(share->retry_after_ms);
    account.denied_until = now + kDenialTime;
  }
  return true;
}

void TenantQuota::onTimer(TimePoint now) {
  if (asked_at_ && now >= *asked_at_ + kAnswerTime) onSilence(now);
  const bool is_retry = !is_answered_ && now >= retry_at_;
  if (asked_at_ || (now < round_at_ && !is_retry)) return;
  round_at_ = now + kRound;
  if (!is_answered_) retry_at_ = now + kRetryInterval;
  std::erase_if(accounts_, [this, now](const auto& item) { return isForgotten(item.second, now); });
  ask(true, now);
}

bool TenantQuota::isForgotten(const Account& account, TimePoint now) const {
  const bool is_empty = account.waiting == 0 && account.in_use == 0 && account.batches.empty();
  return is_empty && account.told_held == 0 &&
         decayed(account.demand, now - account.demand_at) < kForgottenDemand;
}

TimePoint TenantQuota::nextTimer() const {
  if (accounts_.empty()) return TimePoint::max();
  if (asked_at_) return *asked_at_ + kAnswerTime;
  return is_answered_ ? round_at_ : std::min(round_at_, retry_at_);
}

}  // namespace cometstand::sidecar

#include "store/quota_ledger.h"

#include <algorithm>
#include <cmath>

namespace cometstand::store {
namespace {

/// Share of the excess allowed beyond a limit that is used. The remainder covers rounding.
constexpr double kUsedExcessShare = 0.9;
/// Share of the used excess that a leader may grant beyond the burst once all tokens of earlier leaderships
/// have expired.
constexpr double kSteadyExcessShare = 0.5;
/// Share of the capacity that is reserved for waiting requests. Tokens for expected requests are granted only
/// from what is available above it.
constexpr double kReservedCapacityShare = 0.25;
/// Interval between removals of expired holdings.
constexpr Duration kCleanupInterval = std::chrono::milliseconds(100);
/// Time constant of the smoothed denial rate.
constexpr double kDenialSmoothingSeconds = 1;
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(50);

double secondsOf(Duration time) { return std::chrono::duration<double>(time).count(); }

}  // namespace

std::uint64_t QuotaLedger::Holding::total() const {
  std::uint64_t tokens = held;
  for (const auto& [sequence, granted_tokens] : unacknowledged) tokens += granted_tokens;
  return tokens;
}

void QuotaLedger::beginLeadership(std::uint64_t generation, std::uint32_t live, TimePoint led_since) {
  generation_ = generation;
  live_ = live;
  led_since_ = led_since;
  confirmed_at_ = std::max(confirmed_at_, led_since);
  for (auto& [tenant, account] : accounts_) {
    const QuotaLimit limit = account.limit;
    account = Account();
    account.limit = limit;
    account.refilled_until = led_since;
  }
}

/// Each further leadership may grant half of the excess that earlier ones left over, so that together they
/// never exceed it, no matter how fast leaders change. The first recorded leadership is treated as the second
/// because replicas of an earlier release granted tokens without recording their leadership.
double QuotaLedger::initialExcessShare() const {
  constexpr std::uint32_t kMinLive = 2;
  return std::pow(1 - kSteadyExcessShare, std::max(live_, kMinLive));
}

void QuotaLedger::confirmLeadership(TimePoint at) { confirmed_at_ = std::max(confirmed_at_, at); }

void QuotaLedger::setLimits(std::map<std::string, QuotaLimit> limits, TimePoint now) {
  for (auto& [tenant, account] : accounts_) refill(account, now);
  std::erase_if(accounts_, [&limits](const auto& item) { return !limits.contains(item.first); });
  for (const auto& [tenant, limit] : limits) {
    const auto [account, is_new] = accounts_.try_emplace(tenant);
    account->second.limit = limit;
    if (is_new) account->second.refilled_until = std::max(led_since_, confirmed_at_);
  }
}

double QuotaLedger::capacityOf(const Account& account, TimePoint now) const {
  const auto& limit = account.limit;
  const double window = limit.requests_per_second * secondsOf(bounds_.window);
  const double excess = kUsedExcessShare * (bounds_.overshoot * (window + limit.burst) + bounds_.slack);
  const bool earlier_expired = now >= led_since_ + kGenerationExpiry;
  return earlier_expired ? limit.burst + kSteadyExcessShare * excess : initialExcessShare() * excess;
}

/// Refills only for the time in which a quorum confirmed that no other store was the leader.
void QuotaLedger::refill(Account& account, TimePoint now) {
  if (now >= account.last_cleanup + kCleanupInterval) removeExpired(account, now);
  if (confirmed_at_ > account.refilled_until) {
    account.available +=
        account.limit.requests_per_second * secondsOf(confirmed_at_ - account.refilled_until);
    account.refilled_until = confirmed_at_;
  }
  const double max_available = capacityOf(account, now) - static_cast<double>(account.held);
  account.available = std::max(0.0, std::min(account.available, max_available));
}

void QuotaLedger::removeExpired(Account& account, TimePoint now) {
  account.last_cleanup = now;
  account.held = 0;
  std::erase_if(account.holdings, [now](const auto& item) { return item.second.expires_at <= now; });
  for (const auto& [holder, holding] : account.holdings) account.held += holding.total();
}

/// Counts that a node reports for tokens of another generation are ignored.
void QuotaLedger::applyReport(Account& account, Holding& holding, const wire::QuotaRequestT& request,
                              const wire::QuotaNeedT& need) {
  const std::uint64_t before = holding.total();
  const bool is_current_generation = request.generation == generation_;
  auto& unacknowledged = holding.unacknowledged;
  std::uint64_t may_hold = holding.held;
  while (is_current_generation && !unacknowledged.empty() &&
         unacknowledged.front().first <= request.acknowledged) {
    may_hold += unacknowledged.front().second;
    unacknowledged.pop_front();
  }
  holding.held = is_current_generation ? std::min<std::uint64_t>(need.held, may_hold) : may_hold;
  const std::uint64_t released = before - holding.total();
  account.held -= std::min(released, account.held);
  if (is_current_generation)
    account.available += static_cast<double>(std::min<std::uint64_t>(need.returned, released));
}

std::uint64_t QuotaLedger::grant(Account& account, const wire::QuotaNeedT& need, TimePoint now) {
  if (now >= confirmed_at_ + kConfirmationTimeout) return 0;
  const auto whole_tokens = [](double tokens) {
    return static_cast<std::uint64_t>(std::max(0.0, std::floor(tokens)));
  };
  std::uint64_t granted_tokens = std::min<std::uint64_t>(need.need, whole_tokens(account.available));
  const double spare = account.available - static_cast<double>(granted_tokens) -
                       kReservedCapacityShare * capacityOf(account, now);
  granted_tokens += std::min<std::uint64_t>(need.ahead, whole_tokens(spare));
  account.available -= static_cast<double>(granted_tokens);
  account.held += granted_tokens;
  account.granted += granted_tokens;
  return granted_tokens;
}

/// @return the time in which as many tokens accrue as requests were recently denied per second. Retries after
/// this delay are spread so that the refilled tokens suffice for them as far as the limit allows.
Duration QuotaLedger::retryAfter(Account& account, std::uint64_t denied, TimePoint now) {
  const double passed = secondsOf(now - account.denied_at);
  account.denied_per_second *= std::exp(-passed / kDenialSmoothingSeconds);
  account.denied_per_second += static_cast<double>(denied) / kDenialSmoothingSeconds;
  account.denied_at = now;
  account.denied += denied;
  if (denied == 0) return Duration::zero();
  const std::chrono::duration<double> wait(account.denied_per_second * kDenialSmoothingSeconds /
                                           account.limit.requests_per_second);
  return std::clamp(std::chrono::duration_cast<Duration>(wait), kMinRetryAfter, bounds_.window);
}

wire::QuotaGrantT QuotaLedger::onRequest(Holder holder, const wire::QuotaRequestT& request, TimePoint now) {
  wire::QuotaGrantT response;
  response.sequence = request.sequence;
  response.generation = generation_;
  response.valid_ms = static_cast<std::uint32_t>(ceilMilliseconds(kTokenLifetime));
  if (!isLeading()) return response;
  for (const auto& need : request.needs) {
    const auto found = accounts_.find(need->tenant);
    // The tenant was removed or no longer has a limit. The node learns this from its configuration.
    if (found == accounts_.end()) continue;
    auto& account = found->second;
    auto& holding = account.holdings[holder];
    applyReport(account, holding, request, *need);
    refill(account, now);
    const std::uint64_t granted_tokens = grant(account, *need, now);
    auto& updated_holding = account.holdings[holder];
    if (granted_tokens > 0) {
      updated_holding.unacknowledged.emplace_back(request.sequence, granted_tokens);
      updated_holding.expires_at = now + kTokenLifetime;
    }
    auto share = std::make_shared<wire::QuotaShareT>();
    share->tenant = need->tenant;
    share->granted = static_cast<std::uint32_t>(granted_tokens);
    const std::uint64_t denied = granted_tokens >= need->need ? 0 : need->need - granted_tokens;
    share->retry_after_ms = static_cast<std::uint32_t>(ceilMilliseconds(retryAfter(account, denied, now)));
    response.shares.push_back(std::move(share));
  }
  return response;
}

std::map<std::string, QuotaLedger::TenantStatus> QuotaLedger::tenantStatuses() const {
  std::map<std::string, TenantStatus> statuses;
  for (const auto& [tenant, account] : accounts_) {
    statuses[tenant] = {account.limit, account.available, account.held, account.granted, account.denied};
  }
  return statuses;
}

}  // namespace cometstand::store

#include "store/quota_ledger.h"

#include <algorithm>
#include <cmath>

namespace cometstand::store {
namespace {

/// Part of what the bounds allow beyond a limit that is used: the rest is for rounding.
constexpr double kUsedExcess = 0.9;
/// Part of that which a leader gives out besides a burst once all tokens of leaderships before it are void.
constexpr double kSteadyShare = 0.5;
/// Tokens for requests that are only expected are given while the level is above this part of the capacity:
/// the rest is for requests that wait.
constexpr double kReserve = 0.25;
/// Between two looks for holdings that are void.
constexpr Duration kSweepInterval = std::chrono::milliseconds(100);
/// Time constant of the smoothed rate of denials.
constexpr double kDenialSeconds = 1;
constexpr Duration kLeastRetryAfter = std::chrono::milliseconds(50);

double secondsOf(Duration time) { return std::chrono::duration<double>(time).count(); }

}  // namespace

std::uint64_t QuotaLedger::Holding::total() const {
  std::uint64_t tokens = held;
  for (const auto& [sequence, given] : unacknowledged) tokens += given;
  return tokens;
}

void QuotaLedger::begin(std::uint64_t generation, std::uint32_t live, TimePoint led_since) {
  generation_ = generation;
  live_ = live;
  began_ = led_since;
  confirmed_at_ = std::max(confirmed_at_, led_since);
  for (auto& [tenant, account] : accounts_) {
    const QuotaLimit limit = account.limit;
    account = Account();
    account.limit = limit;
    account.filled_to = led_since;
  }
}

/// Each further leadership gets half of what those before it have left, so that all together never have more
/// than there is, however fast leaders change. A leadership that is the first on record is taken for the
/// second: replicas of an earlier release gave tokens without a record.
double QuotaLedger::firstShare() const {
  constexpr std::uint32_t kLeastLive = 2;
  return std::pow(1 - kSteadyShare, std::max(live_, kLeastLive));
}

void QuotaLedger::confirm(TimePoint at) { confirmed_at_ = std::max(confirmed_at_, at); }

void QuotaLedger::setLimits(std::map<std::string, QuotaLimit> limits, TimePoint now) {
  for (auto& [tenant, account] : accounts_) fill(account, now);
  std::erase_if(accounts_, [&limits](const auto& item) { return !limits.contains(item.first); });
  for (const auto& [tenant, limit] : limits) {
    const auto [account, is_new] = accounts_.try_emplace(tenant);
    account->second.limit = limit;
    if (is_new) account->second.filled_to = std::max(began_, confirmed_at_);
  }
}

double QuotaLedger::capacityOf(const Account& account, TimePoint now) const {
  const auto& limit = account.limit;
  const double window = limit.requests_per_second * secondsOf(bounds_.window);
  const double excess = kUsedExcess * (bounds_.overshoot * (window + limit.burst) + bounds_.slack);
  const bool are_all_void = now >= began_ + kGenerationTime;
  return are_all_void ? limit.burst + kSteadyShare * excess : firstShare() * excess;
}

/// The level rises for the time of which it is sure that no other store led in it.
void QuotaLedger::fill(Account& account, TimePoint now) {
  if (now >= account.swept_at + kSweepInterval) sweep(account, now);
  if (confirmed_at_ > account.filled_to) {
    account.level += account.limit.requests_per_second * secondsOf(confirmed_at_ - account.filled_to);
    account.filled_to = confirmed_at_;
  }
  const double most = capacityOf(account, now) - static_cast<double>(account.held);
  account.level = std::max(0.0, std::min(account.level, most));
}

void QuotaLedger::sweep(Account& account, TimePoint now) {
  account.swept_at = now;
  account.held = 0;
  std::erase_if(account.holdings, [now](const auto& item) { return item.second.void_at <= now; });
  for (const auto& [holder, holding] : account.holdings) account.held += holding.total();
}

/// A node says of a generation that is not this one nothing that counts here.
void QuotaLedger::takeReport(Account& account, Holding& holding, const wire::QuotaRequestT& request,
                             const wire::QuotaNeedT& need) {
  const std::uint64_t before = holding.total();
  const bool is_of_this = request.generation == generation_;
  auto& given = holding.unacknowledged;
  std::uint64_t may_hold = holding.held;
  while (is_of_this && !given.empty() && given.front().first <= request.acknowledged) {
    may_hold += given.front().second;
    given.pop_front();
  }
  holding.held = is_of_this ? std::min<std::uint64_t>(need.held, may_hold) : may_hold;
  const std::uint64_t gone = before - holding.total();
  account.held -= std::min(gone, account.held);
  if (is_of_this) account.level += static_cast<double>(std::min<std::uint64_t>(need.returned, gone));
}

std::uint64_t QuotaLedger::give(Account& account, const wire::QuotaNeedT& need, TimePoint now) {
  if (now >= confirmed_at_ + kConfirmTime) return 0;
  const auto whole = [](double tokens) {
    return static_cast<std::uint64_t>(std::max(0.0, std::floor(tokens)));
  };
  std::uint64_t given = std::min<std::uint64_t>(need.need, whole(account.level));
  const double spare = account.level - static_cast<double>(given) - kReserve * capacityOf(account, now);
  given += std::min<std::uint64_t>(need.ahead, whole(spare));
  account.level -= static_cast<double>(given);
  account.held += given;
  account.granted += given;
  return given;
}

/// @return the time in which as many tokens come as requests were lately denied in a second: who comes back
/// after it, among all who do, finds room as far as there is any.
Duration QuotaLedger::waitFor(Account& account, std::uint64_t denied, TimePoint now) {
  const double passed = secondsOf(now - account.denied_at);
  account.denied_per_second *= std::exp(-passed / kDenialSeconds);
  account.denied_per_second += static_cast<double>(denied) / kDenialSeconds;
  account.denied_at = now;
  account.denied += denied;
  if (denied == 0) return Duration::zero();
  const std::chrono::duration<double> wait(account.denied_per_second * kDenialSeconds /
                                           account.limit.requests_per_second);
  return std::clamp(std::chrono::duration_cast<Duration>(wait), kLeastRetryAfter, bounds_.window);
}

wire::QuotaGrantT QuotaLedger::onRequest(Holder holder, const wire::QuotaRequestT& request, TimePoint now) {
  wire::QuotaGrantT answer;
  answer.sequence = request.sequence;
  answer.generation = generation_;
  answer.valid_ms = static_cast<std::uint32_t>(ceilMilliseconds(kValidTime));
  if (!isLeading()) return answer;
  for (const auto& need : request.needs) {
    const auto found = accounts_.find(need->tenant);
    // A tenant that is gone, or has no limit any more: the node hears of it with its configuration.
    if (found == accounts_.end()) continue;
    auto& account = found->second;
    auto& holding = account.holdings[holder];
    takeReport(account, holding, request, *need);
    fill(account, now);
    const std::uint64_t given = give(account, *need, now);
    auto& kept = account.holdings[holder];
    if (given > 0) {
      kept.unacknowledged.emplace_back(request.sequence, given);
      kept.void_at = now + kValidTime;
    }
    auto share = std::make_shared<wire::QuotaShareT>();
    share->tenant = need->tenant;
    share->granted = static_cast<std::uint32_t>(given);
    const std::uint64_t denied = given >= need->need ? 0 : need->need - given;
    share->retry_after_ms = static_cast<std::uint32_t>(ceilMilliseconds(waitFor(account, denied, now)));
    answer.shares.push_back(std::move(share));
  }
  return answer;
}

std::map<std::string, QuotaLedger::Standing> QuotaLedger::standings() const {
  std::map<std::string, Standing> standings;
  for (const auto& [tenant, account] : accounts_) {
    standings[tenant] = {account.limit, account.level, account.held, account.granted, account.denied};
  }
  return standings;
}

}  // namespace cometstand::store

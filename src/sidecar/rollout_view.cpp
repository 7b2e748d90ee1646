#include "sidecar/rollout_view.h"

#include <algorithm>
#include <tuple>

namespace cometstand::sidecar {
namespace {

using Phase = wire::RolloutPhase;

constexpr std::uint64_t kThousand = 1'000;

bool isOver(Phase phase) { return phase == Phase::Succeeded || phase == Phase::RolledBack; }

bool isWithdrawn(Phase phase) { return phase == Phase::RollingBack || phase == Phase::RolledBack; }

}  // namespace

void RolloutView::apply(const wire::RolloutUpdateT& update, TimePoint now) {
  updated_at_ = now;
  leader_.reset();
  if (update.leader != nullptr) leader_ = runtime::Address{update.leader->host, update.leader->port};
  for (const auto& record : update.records) {
    auto& known = records_[record->service];
    const bool is_newer = std::tie(record->number, record->step) > std::tie(known.number, known.step);
    if (is_newer || known.number == 0) known = *record;
  }
}

void RolloutView::noteVersion(const std::string& service, const std::string& version, TimePoint now) {
  if (!version.empty()) first_seen_[service].try_emplace(version, now);
}

const wire::RolloutRecordT* RolloutView::running(const std::string& service) const {
  const auto found = records_.find(service);
  const bool is_running = found != records_.end() && !isOver(found->second.phase);
  return is_running ? &found->second : nullptr;
}

std::set<std::string> RolloutView::servicesInRollout() const {
  std::set<std::string> services;
  for (const auto& [service, record] : records_) {
    if (running(service) != nullptr) services.insert(service);
  }
  return services;
}

bool RolloutView::isCanary(const std::string& service) const {
  const auto* record = running(service);
  return record != nullptr && record->phase == Phase::Canary;
}

bool RolloutView::isWithinNewVersionDelay(const std::string& service, const std::string& version,
                                          TimePoint now) const {
  const auto versions = first_seen_.find(service);
  if (versions == first_seen_.end()) return false;
  const auto own = versions->second.find(version);
  if (own == versions->second.end() || now >= own->second + kNewVersionDelay) return false;
  return std::any_of(versions->second.begin(), versions->second.end(),
                     [&own](const auto& other) { return other.second < own->second; });
}

VersionFilter RolloutView::filterFor(const std::string& service, bool is_first_attempt, RandomSource& random,
                                     TimePoint now) const {
  VersionFilter filter;
  const auto versions = first_seen_.find(service);
  if (versions == first_seen_.end()) return filter;
  for (const auto& [version, since] : versions->second) {
    if (isWithinNewVersionDelay(service, version, now)) filter.closed.push_back(version);
  }
  const auto found = records_.find(service);
  if (found == records_.end()) return filter;
  const auto& record = found->second;
  filter.rejects_unknown = !isOver(record.phase);
  filter.canary = record.version;
  if (isWithdrawn(record.phase)) {
    filter.closed.push_back(record.version);
  } else if (record.phase == Phase::Canary) {
    const bool gets_canary =
        is_first_attempt && hasLease(now) && random.uniform(0, kThousand - 1) < record.canary_permille;
    filter.pool = gets_canary ? VersionFilter::Pool::Canary : VersionFilter::Pool::Stable;
    filter.canary_permille = record.canary_permille;
  } else {
    filter.closed.insert(filter.closed.end(), record.replaced_versions.begin(),
                         record.replaced_versions.end());
    // Other versions that appeared during the roll-out are not promoted, so only the new version is admitted.
    if (record.phase == Phase::Promoting) filter.pool = VersionFilter::Pool::Canary;
    filter.canary_permille = kThousand;
  }
  return filter;
}

bool RolloutView::isClosed(const std::string& service, const std::string& version, TimePoint now) const {
  const auto found = records_.find(service);
  if (found == records_.end()) return false;
  const auto& record = found->second;
  const bool is_new = version == record.version;
  switch (record.phase) {
    case Phase::Canary:
      return is_new && !hasLease(now);
    case Phase::Promoting:
      return !is_new;
    case Phase::Succeeded: {
      const auto& replaced = record.replaced_versions;
      return std::find(replaced.begin(), replaced.end(), version) != replaced.end();
    }
    case Phase::RollingBack:
    case Phase::RolledBack:
      return is_new;
  }
  return false;
}

TimePoint RolloutView::leaseEnd() const {
  const bool is_running = std::any_of(records_.begin(), records_.end(),
                                      [](const auto& item) { return !isOver(item.second.phase); });
  return is_running ? updated_at_ + kLeaseDuration : TimePoint::max();
}

}  // namespace cometstand::sidecar

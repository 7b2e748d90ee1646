#include "proxy/balancer.h"

#include <algorithm>
#include <cmath>

namespace cometstand::proxy {
namespace {

/// Share of its slots that a cold endpoint gets, and where the slow start begins.
constexpr double kMinimumWarmth = 0.1;

bool contains(const std::vector<EndpointPointer>& endpoints, const EndpointPointer& endpoint) {
  return std::find(endpoints.begin(), endpoints.end(), endpoint) != endpoints.end();
}

/// @return those for which the condition holds, or all if it holds for none.
template <typename Condition>
std::vector<EndpointPointer> preferring(std::vector<EndpointPointer> all, Condition condition) {
  std::vector<EndpointPointer> preferred;
  std::copy_if(all.begin(), all.end(), std::back_inserter(preferred), condition);
  return preferred.empty() ? all : preferred;
}

}  // namespace

double Balancer::warmth(const Endpoint& endpoint, TimePoint now) const {
  if (endpoint.state == wire::EndpointState::Cold) return kMinimumWarmth;
  if (!endpoint.warm_since) return 1;
  const auto age = std::chrono::duration<double>(now - *endpoint.warm_since);
  const double ramp = age / std::chrono::duration<double>(options_.slow_start);
  return std::clamp(ramp, kMinimumWarmth, 1.0);
}

unsigned Balancer::slotLimit(const Endpoint& endpoint, TimePoint now) const {
  if (endpoint.state == wire::EndpointState::Cold) return warmSlots(endpoint, now);
  return std::min(endpoint.limit.limit(), connectionBudget(endpoint));
}

unsigned Balancer::warmSlots(const Endpoint& endpoint, TimePoint now) const {
  const unsigned most = std::min(endpoint.limit.limit(), connectionBudget(endpoint));
  const auto warm = static_cast<unsigned>(std::lround(most * warmth(endpoint, now)));
  return std::clamp(warm, 1U, most);
}

/// Draws whether an endpoint in slow start takes part in this choice, so that it gets a growing share also
/// while others are idle.
bool Balancer::takesPart(const Endpoint& endpoint, TimePoint now) {
  const double warm = warmth(endpoint, now);
  if (warm >= 1) return true;
  return endpoint.outstanding < warmSlots(endpoint, now) && random_.chance(warm);
}

double Balancer::score(const Endpoint& endpoint, TimePoint now) const {
  // The request to be placed counts, so that among idle endpoints larger ones come first.
  const double own = (endpoint.outstanding + 1.0) / endpoint.slots;
  const double others = endpoint.load.othersLoad(now, options_.load_report_half_life);
  const bool remote = !options_.zone.empty() && endpoint.zone != options_.zone;
  return own + others + (remote ? options_.remote_zone_penalty : 0);
}

std::vector<EndpointPointer> Balancer::candidates(const ServiceKey& service, TimePoint now) const {
  const auto& usable = endpoints_.endpoints(service);
  std::vector<EndpointPointer> all;
  std::vector<EndpointPointer> healthy;
  for (const auto& endpoint : usable) {
    if (!endpoint->mayTakeWork(now)) continue;
    all.push_back(endpoint);
    if (!endpoint->outlier.isEjected(now)) healthy.push_back(endpoint);
  }
  const auto panic_size = options_.panic_threshold * static_cast<double>(all.size());
  const bool panic = static_cast<double>(healthy.size()) < panic_size;
  return panic ? all : healthy;
}

EndpointPointer Balancer::betterOfTwo(const std::vector<EndpointPointer>& from, TimePoint now) {
  if (from.empty()) return nullptr;
  const std::size_t first = random_.uniform(std::uint64_t{0}, from.size() - 1);
  if (from.size() == 1) return from[first];
  std::size_t second = random_.uniform(std::uint64_t{0}, from.size() - 2);
  if (second >= first) ++second;
  return score(*from[second], now) < score(*from[first], now) ? from[second] : from[first];
}

EndpointPointer Balancer::pick(const ServiceKey& service, const Avoid& avoid, TimePoint now) {
  auto free = candidates(service, now);
  std::erase_if(free,
                [&](const auto& endpoint) { return endpoint->outstanding >= slotLimit(*endpoint, now); });
  free = preferring(std::move(free), [&](const auto& each) { return !contains(avoid.endpoints, each); });
  if (!avoid.zone.empty()) {
    free = preferring(std::move(free), [&](const auto& each) { return each->zone != avoid.zone; });
  }
  // Work that the warm ones have no slots for goes to the others rather than wait.
  free = preferring(std::move(free), [&](const auto& each) { return takesPart(*each, now); });
  std::vector<EndpointPointer> local;
  std::copy_if(free.begin(), free.end(), std::back_inserter(local),
               [&](const auto& endpoint) { return endpoint->zone == options_.zone; });
  auto chosen = betterOfTwo(local, now);
  if (chosen == nullptr || score(*chosen, now) >= options_.spill_over_utilisation) {
    std::vector<EndpointPointer> remote;
    std::copy_if(free.begin(), free.end(), std::back_inserter(remote),
                 [&](const auto& endpoint) { return endpoint->zone != options_.zone; });
    const auto other = betterOfTwo(remote, now);
    if (chosen == nullptr || (other != nullptr && score(*other, now) < score(*chosen, now))) chosen = other;
  }
  if (chosen != nullptr) ++chosen->outstanding;
  return chosen;
}

bool Balancer::mayEject(const ServiceKey& service, TimePoint now) const {
  const auto& all = endpoints_.endpoints(service);
  const auto ejected = std::count_if(all.begin(), all.end(),
                                     [&](const auto& endpoint) { return endpoint->outlier.isEjected(now); });
  return static_cast<double>(ejected + 1) <= options_.ejection_limit * static_cast<double>(all.size());
}

void Balancer::finish(Endpoint& endpoint, AttemptVerdict verdict, TimePoint now) {
  const unsigned in_work = endpoint.outstanding;
  if (endpoint.outstanding > 0) --endpoint.outstanding;
  switch (verdict) {
    case AttemptVerdict::Success:
      endpoint.outlier.onSuccess();
      endpoint.limit.onSuccess(in_work);
      break;
    case AttemptVerdict::Failure:
      if (endpoint.outlier.onFailure(options_, mayEject(endpoint.key.service, now), now)) ++ejections_;
      break;
    case AttemptVerdict::Shed:
      endpoint.load.onShed(now);
      endpoint.limit.onOverload(options_.limit, now);
      break;
    case AttemptVerdict::Leaving:
      endpoint.markLeaving(now);
      break;
    case AttemptVerdict::Neutral:
      break;
  }
}

void Balancer::onLoadReport(Endpoint& endpoint, double load, TimePoint now) {
  const double own = static_cast<double>(endpoint.outstanding) / endpoint.slots;
  endpoint.load.onReport(load, own, now);
}

bool Balancer::hasEndpoints(const ServiceKey& service, TimePoint now) const {
  const auto& all = endpoints_.endpoints(service);
  return std::any_of(all.begin(), all.end(), [&](const auto& each) { return each->mayTakeWork(now); });
}

unsigned Balancer::capacity(const ServiceKey& service, TimePoint now) const {
  unsigned total = 0;
  for (const auto& endpoint : candidates(service, now)) total += slotLimit(*endpoint, now);
  return total;
}

}  // namespace cometstand::proxy

#include "sidecar/endpoint_directory.h"

#include <algorithm>

namespace cometstand::sidecar {
namespace {

/// Time for which endpoints are kept that are missing in a store's full snapshot. The store may have started
/// just before and not know all endpoints yet.
constexpr Duration kUnconfirmedRetention = std::chrono::seconds(3);
/// Minimum time before another request is sent to a cold target that reported no capacity. It is about
/// the time in which a target with a capacity of ten requests per second can accept one more.
constexpr Duration kMinColdRetryDelay = std::chrono::milliseconds(100);
constexpr double kPermille = 1000;
constexpr std::size_t kThousand = 1'000;

}  // namespace

void EndpointDirectory::apply(const wire::EndpointUpdateT& update, bool is_whole, TimePoint now) {
  if (is_whole) {
    for (auto& [address, endpoint] : endpoints_) endpoint.expires_at = now + kUnconfirmedRetention;
  }
  for (const auto& record : update.records) {
    const runtime::Address address{record->address, record->port};
    if (record->state == wire::EndpointState::Gone) {
      const auto known = endpoints_.find(address);
      if (known != endpoints_.end() && known->second.instance == record->endpoint)
        known->second.expires_at = now;
      continue;
    }
    auto& endpoint = endpoints_[address];
    endpoint.address = address;
    setService(endpoint, record->service);
    if (endpoint.instance != record->endpoint) resetTargetState(endpoint);
    endpoint.instance = record->endpoint;
    endpoint.version = record->version;
    endpoint.zone = record->zone;
    endpoint.slots = std::max(1U, record->slots);
    endpoint.live = record->state == wire::EndpointState::Live || record->state == wire::EndpointState::Cold;
    endpoint.cold_until = now + std::chrono::milliseconds(record->cold_ms);
    endpoint.expires_at.reset();
  }
  updateSenderCount();
}

/// Clears the state that belongs to the previous target: load, failures, speed, refusals and capacity.
void EndpointDirectory::resetTargetState(Endpoint& endpoint) {
  endpoint.reported_load = 0;
  endpoint.failure_rate = 0;
  endpoint.run_time = 0;
  endpoint.avoid_until = TimePoint();
  endpoint.cold_room = 0;
  endpoint.cold_retry_at = TimePoint();
  endpoint.limit_pause = Duration::zero();
  endpoint.limit_retry_at = TimePoint();
}

void EndpointDirectory::updateSenderCount() {
  const auto& own = options_.zones.regionOf(options_.zone);
  const auto senders = std::count_if(endpoints_.begin(), endpoints_.end(), [&](const auto& item) {
    return options_.zones.regionOf(item.second.zone) == own;
  });
  region_links_.setSenderCount(static_cast<std::size_t>(senders));
}

void EndpointDirectory::setService(Endpoint& endpoint, const std::string& service) {
  if (endpoint.service == service) return;
  removeFromLists(endpoint);
  endpoint.service = service;
  endpoint.number = ++last_endpoint_number_;
  by_service_[service].push_back(&endpoint);
  if (endpoint.linked) addToLinked(endpoint);
}

void EndpointDirectory::addToLinked(Endpoint& endpoint) {
  auto& listed = linked_[endpoint.service];
  const auto position = std::upper_bound(
      listed.begin(), listed.end(), &endpoint,
      [](const Endpoint* left, const Endpoint* right) { return left->number < right->number; });
  listed.insert(position, &endpoint);
}

void EndpointDirectory::removeFromLists(Endpoint& endpoint) {
  for (auto* lists : {&by_service_, &linked_}) {
    const auto listed = lists->find(endpoint.service);
    if (listed != lists->end()) std::erase(listed->second, &endpoint);
  }
}

void EndpointDirectory::setLinked(Endpoint& endpoint, bool is_linked) {
  if (endpoint.linked == is_linked) return;
  endpoint.linked = is_linked;
  if (is_linked) {
    addToLinked(endpoint);
  } else {
    std::erase(linked_[endpoint.service], &endpoint);
  }
}

Endpoint* EndpointDirectory::find(const runtime::Address& address) {
  const auto found = endpoints_.find(address);
  return found == endpoints_.end() ? nullptr : &found->second;
}

void EndpointDirectory::noteSent(Endpoint& endpoint, TimePoint now) {
  if (endpoint.outstanding == 0) endpoint.no_reply_since = now;
  ++endpoint.outstanding;
  if (endpoint.cold_room > 0) --endpoint.cold_room;
  if (endpoint.limit_pause > Duration::zero()) endpoint.limit_retry_at = now + endpoint.limit_pause;
}

Endpoint* EndpointDirectory::choose(const EndpointCriteria& criteria, const std::set<runtime::Address>& tried,
                                    RandomSource& random, TimePoint now) {
  const auto listed = linked_.find(criteria.service);
  if (listed == linked_.end()) return nullptr;
  std::vector<Endpoint*> candidates;
  candidates.reserve(listed->second.size());
  LoadEstimate estimate(now);
  noteOverdueEndpoints(listed->second, now);
  bool is_over_link_share = false;
  for (auto* endpoint : listed->second) {
    if (!EndpointFilter::isReachable(*endpoint)) continue;
    estimate.add(*endpoint);
    const bool is_candidate = !tried.contains(endpoint->address) && filter_.admits(*endpoint, criteria, now);
    if (!is_candidate) continue;
    if (region_links_.admits(*endpoint, criteria, now)) {
      candidates.push_back(endpoint);
    } else {
      is_over_link_share = true;
    }
  }
  if (is_over_link_share) region_links_.noteThrottled();
  if (criteria.versions.pool == VersionFilter::Pool::Canary)
    limitToCanaryShare(candidates, criteria.versions.canary_permille);
  auto* best = findLowestCost(candidates, criteria, estimate, random, now);
  if (best == nullptr || !zone_health_.isUnresponsive(best->zone)) return best;
  std::erase_if(candidates,
                [this](const auto* endpoint) { return zone_health_.isUnresponsive(endpoint->zone); });
  if (maySendToUnresponsiveZone(*best, criteria, candidates.empty(), now)) return best;
  return findLowestCost(candidates, criteria, estimate, random, now);
}

bool EndpointDirectory::maySendToUnresponsiveZone(const Endpoint& endpoint, const EndpointCriteria& criteria,
                                                  bool is_only_choice, TimePoint now) {
  const bool is_probe =
      zone_health_.isProbeDue(endpoint.zone, now) && (criteria.may_repeat || is_only_choice);
  if (is_probe) zone_health_.noteProbe(endpoint.zone, now);
  return is_probe || (criteria.may_repeat && is_only_choice);
}

void EndpointDirectory::noteOverdueEndpoints(const std::vector<Endpoint*>& endpoints, TimePoint now) {
  for (const auto* endpoint : endpoints) {
    const auto overdue_at = cost_.overdueSince(*endpoint, now);
    if (overdue_at) zone_health_.noteFailure(endpoint->zone, endpoint->address.host, *overdue_at);
  }
}

void EndpointDirectory::noteLinked(const runtime::Address& address, TimePoint now) {
  auto* endpoint = find(address);
  if (endpoint == nullptr) return;
  setLinked(*endpoint, true);
  zone_health_.noteContact(endpoint->zone, now);
}

void EndpointDirectory::noteLinkFailed(const runtime::Address& address, TimePoint now) {
  auto* endpoint = find(address);
  if (endpoint == nullptr) return;
  const bool is_failure = endpoint->linked && endpoint->live;
  setLinked(*endpoint, false);
  if (is_failure) zone_health_.noteFailure(endpoint->zone, address.host, now);
}

void EndpointDirectory::noteLocalEndpoint(const runtime::Address& address) {
  if (auto* endpoint = find(address)) setLinked(*endpoint, true);
}

void EndpointDirectory::noteLinkClosed(const runtime::Address& address) {
  if (auto* endpoint = find(address)) setLinked(*endpoint, false);
}

Endpoint* EndpointDirectory::findLowestCost(const std::vector<Endpoint*>& candidates,
                                            const EndpointCriteria& criteria, const LoadEstimate& estimate,
                                            RandomSource& random, TimePoint now) const {
  Endpoint* best = nullptr;
  double best_score = 0;
  for (auto* endpoint : candidates) {
    const double score = cost_.of(*endpoint, criteria, estimate, random, now);
    if (best != nullptr && score >= best_score) continue;
    best = endpoint;
    best_score = score;
  }
  return best;
}

void EndpointDirectory::limitToCanaryShare(std::vector<Endpoint*>& candidates, unsigned permille) {
  const std::size_t wanted = (candidates.size() * permille + kThousand - 1) / kThousand;
  if (wanted >= candidates.size()) return;
  std::sort(candidates.begin(), candidates.end(),
            [](const auto* left, const auto* right) { return left->instance < right->instance; });
  candidates.resize(wanted);
}

Duration EndpointDirectory::timeUntilCapacity(const EndpointCriteria& criteria, TimePoint now) const {
  const auto listed = linked_.find(criteria.service);
  if (listed == linked_.end()) return Duration::zero();
  Duration least = Duration::max();
  for (const auto* endpoint : listed->second) {
    if (!filter_.isEligible(*endpoint, criteria)) continue;
    const TimePoint capacity_at = std::max(endpoint->cold_until, endpoint->limit_retry_at);
    least = std::min(least, std::max(Duration::zero(), capacity_at - now));
  }
  return least == Duration::max() ? Duration::zero() : least;
}

bool EndpointDirectory::knows(const std::string& service) const {
  const auto listed = by_service_.find(service);
  return listed != by_service_.end() && std::any_of(listed->second.begin(), listed->second.end(),
                                                    [](const auto* endpoint) { return endpoint->live; });
}

void EndpointDirectory::onReply(Endpoint& endpoint, const wire::ForwardReplyT& reply, TimePoint now) {
  endpoint.reported_load = reply.running + reply.waiting;
  endpoint.failure_rate = reply.failure_permille / kPermille;
  endpoint.run_time = reply.run_time_permille / kPermille;
  endpoint.answer_wait = std::chrono::milliseconds(reply.answer_wait_ms);
  endpoint.intake_wait = std::chrono::milliseconds(reply.intake_wait_ms);
  endpoint.cold_until = now + std::chrono::milliseconds(reply.cold_ms);
  endpoint.cold_room = reply.cold_room;
  const bool was_refused = reply.outcome == wire::ForwardOutcome::NotRun;
  const Duration retry_delay =
      was_refused ? std::chrono::milliseconds(reply.retry_after_ms) : kMinColdRetryDelay;
  endpoint.cold_retry_at = now + std::max(retry_delay, kMinColdRetryDelay);
  endpoint.limit_pause = std::chrono::milliseconds(reply.limit_pause_ms);
  endpoint.limit_retry_at = now + endpoint.limit_pause;
  if (reply.statement) statements_.record(endpoint.address, *reply.statement, now);
  endpoint.reported_at = now;
  endpoint.no_reply_since = now;
  zone_health_.noteContact(endpoint.zone, now);
}

std::vector<runtime::Address> EndpointDirectory::expire(TimePoint now) {
  std::vector<runtime::Address> removed;
  for (auto item = endpoints_.begin(); item != endpoints_.end();) {
    auto& endpoint = item->second;
    const bool has_expired = endpoint.expires_at && *endpoint.expires_at <= now && endpoint.outstanding == 0;
    if (!has_expired) {
      ++item;
      continue;
    }
    removed.push_back(item->first);
    removeFromLists(endpoint);
    item = endpoints_.erase(item);
  }
  if (!removed.empty()) updateSenderCount();
  return removed;
}

}  // namespace cometstand::sidecar

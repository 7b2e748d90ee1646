#include "sidecar/endpoint_directory.h"

#include <algorithm>

namespace cometstand::sidecar {
namespace {

/// How long endpoints are kept that a store does not know when it begins to send records: it may have started
/// a moment ago.
constexpr Duration kUnconfirmedLease = std::chrono::seconds(3);
/// A cold endpoint that has just said that it has no room is not asked for this long: about the time in which
/// a target that bears ten requests a second gets room for one.
constexpr Duration kColdPause = std::chrono::milliseconds(100);
constexpr double kPermille = 1000;
constexpr std::size_t kThousand = 1'000;

}  // namespace

void EndpointDirectory::apply(const wire::EndpointUpdateT& update, bool is_whole, TimePoint now) {
  if (is_whole) {
    for (auto& [address, endpoint] : endpoints_) endpoint.expires_at = now + kUnconfirmedLease;
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
    if (endpoint.instance != record->endpoint) forgetTarget(endpoint);
    endpoint.instance = record->endpoint;
    endpoint.version = record->version;
    endpoint.zone = record->zone;
    endpoint.slots = std::max(1U, record->slots);
    endpoint.live = record->state == wire::EndpointState::Live || record->state == wire::EndpointState::Cold;
    endpoint.cold_until = now + std::chrono::milliseconds(record->cold_ms);
    endpoint.expires_at.reset();
  }
  countSenders();
}

/// Load, failures, speed, refusals and room are those of the target before.
void EndpointDirectory::forgetTarget(Endpoint& endpoint) {
  endpoint.reported_load = 0;
  endpoint.failure_rate = 0;
  endpoint.run_time = 0;
  endpoint.avoid_until = TimePoint();
  endpoint.cold_room = 0;
  endpoint.cold_closed_until = TimePoint();
}

void EndpointDirectory::countSenders() {
  const auto& own = options_.zones.regionOf(options_.zone);
  const auto senders = std::count_if(endpoints_.begin(), endpoints_.end(), [&](const auto& item) {
    return options_.zones.regionOf(item.second.zone) == own;
  });
  region_links_.setSenders(static_cast<std::size_t>(senders));
}

void EndpointDirectory::setService(Endpoint& endpoint, const std::string& service) {
  if (endpoint.service == service) return;
  unlist(endpoint);
  endpoint.service = service;
  endpoint.number = ++last_number_;
  by_service_[service].push_back(&endpoint);
  if (endpoint.linked) listLinked(endpoint);
}

void EndpointDirectory::listLinked(Endpoint& endpoint) {
  auto& listed = linked_[endpoint.service];
  const auto place = std::upper_bound(
      listed.begin(), listed.end(), &endpoint,
      [](const Endpoint* left, const Endpoint* right) { return left->number < right->number; });
  listed.insert(place, &endpoint);
}

void EndpointDirectory::unlist(Endpoint& endpoint) {
  for (auto* lists : {&by_service_, &linked_}) {
    const auto listed = lists->find(endpoint.service);
    if (listed != lists->end()) std::erase(listed->second, &endpoint);
  }
}

void EndpointDirectory::setLinked(Endpoint& endpoint, bool is_linked) {
  if (endpoint.linked == is_linked) return;
  endpoint.linked = is_linked;
  if (is_linked) {
    listLinked(endpoint);
  } else {
    std::erase(linked_[endpoint.service], &endpoint);
  }
}

Endpoint* EndpointDirectory::find(const runtime::Address& address) {
  const auto found = endpoints_.find(address);
  return found == endpoints_.end() ? nullptr : &found->second;
}

void EndpointDirectory::noteSent(Endpoint& endpoint, TimePoint now) {
  if (endpoint.outstanding == 0) endpoint.silent_since = now;
  ++endpoint.outstanding;
  if (endpoint.cold_room > 0) --endpoint.cold_room;
}

Endpoint* EndpointDirectory::choose(const EndpointWant& want, const std::set<runtime::Address>& tried,
                                    RandomSource& random, TimePoint now) {
  const auto listed = linked_.find(want.service);
  if (listed == linked_.end()) return nullptr;
  std::vector<Endpoint*> candidates;
  candidates.reserve(listed->second.size());
  LoadEstimate estimate(now);
  noteSilent(listed->second, now);
  bool is_held_back = false;
  for (auto* endpoint : listed->second) {
    if (!EndpointFilter::isReachable(*endpoint)) continue;
    estimate.add(*endpoint);
    const bool is_candidate = !tried.contains(endpoint->address) && filter_.admits(*endpoint, want, now);
    if (!is_candidate) continue;
    if (region_links_.admits(*endpoint, want, now)) {
      candidates.push_back(endpoint);
    } else {
      is_held_back = true;
    }
  }
  if (is_held_back) region_links_.noteHeldBack();
  if (want.versions.pool == VersionFilter::Pool::Canary) keepShare(candidates, want.versions.canary_permille);
  auto* best = cheapest(candidates, want, estimate, random, now);
  if (best == nullptr || !zone_health_.isDark(best->zone)) return best;
  std::erase_if(candidates, [this](const auto* endpoint) { return zone_health_.isDark(endpoint->zone); });
  if (isSentToDark(*best, want, candidates.empty(), now)) return best;
  return cheapest(candidates, want, estimate, random, now);
}

bool EndpointDirectory::isSentToDark(const Endpoint& endpoint, const EndpointWant& want, bool is_only_choice,
                                     TimePoint now) {
  const bool is_probe = zone_health_.wantsProbe(endpoint.zone, now) && (want.may_repeat || is_only_choice);
  if (is_probe) zone_health_.noteProbe(endpoint.zone, now);
  return is_probe || (want.may_repeat && is_only_choice);
}

void EndpointDirectory::noteSilent(const std::vector<Endpoint*>& endpoints, TimePoint now) {
  for (const auto* endpoint : endpoints) {
    const auto missed_at = cost_.missedSince(*endpoint, now);
    if (missed_at) zone_health_.noteMissed(endpoint->zone, endpoint->address.host, *missed_at);
  }
}

void EndpointDirectory::noteLinked(const runtime::Address& address, TimePoint now) {
  auto* endpoint = find(address);
  if (endpoint == nullptr) return;
  setLinked(*endpoint, true);
  zone_health_.noteHeard(endpoint->zone, now);
}

void EndpointDirectory::noteUnlinked(const runtime::Address& address, TimePoint now) {
  auto* endpoint = find(address);
  if (endpoint == nullptr) return;
  const bool is_missed = endpoint->linked && endpoint->live;
  setLinked(*endpoint, false);
  if (is_missed) zone_health_.noteMissed(endpoint->zone, address.host, now);
}

void EndpointDirectory::noteOwn(const runtime::Address& address) {
  if (auto* endpoint = find(address)) setLinked(*endpoint, true);
}

void EndpointDirectory::noteReleased(const runtime::Address& address) {
  if (auto* endpoint = find(address)) setLinked(*endpoint, false);
}

Endpoint* EndpointDirectory::cheapest(const std::vector<Endpoint*>& candidates, const EndpointWant& want,
                                      const LoadEstimate& estimate, RandomSource& random,
                                      TimePoint now) const {
  Endpoint* best = nullptr;
  double best_score = 0;
  for (auto* endpoint : candidates) {
    const double score = cost_.of(*endpoint, want, estimate, random, now);
    if (best != nullptr && score >= best_score) continue;
    best = endpoint;
    best_score = score;
  }
  return best;
}

void EndpointDirectory::keepShare(std::vector<Endpoint*>& candidates, unsigned permille) {
  const std::size_t wanted = (candidates.size() * permille + kThousand - 1) / kThousand;
  if (wanted >= candidates.size()) return;
  std::sort(candidates.begin(), candidates.end(),
            [](const auto* left, const auto* right) { return left->instance < right->instance; });
  candidates.resize(wanted);
}

Duration EndpointDirectory::coldTime(const EndpointWant& want, TimePoint now) const {
  const auto listed = linked_.find(want.service);
  if (listed == linked_.end()) return Duration::zero();
  Duration least = Duration::max();
  for (const auto* endpoint : listed->second) {
    if (!filter_.isEligible(*endpoint, want)) continue;
    least = std::min(least, std::max(Duration::zero(), endpoint->cold_until - now));
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
  const Duration pause = was_refused ? std::chrono::milliseconds(reply.retry_after_ms) : kColdPause;
  endpoint.cold_closed_until = now + std::max(pause, kColdPause);
  endpoint.reported_at = now;
  endpoint.silent_since = now;
  zone_health_.noteHeard(endpoint.zone, now);
}

std::vector<runtime::Address> EndpointDirectory::expire(TimePoint now) {
  std::vector<runtime::Address> gone;
  for (auto item = endpoints_.begin(); item != endpoints_.end();) {
    auto& endpoint = item->second;
    const bool has_expired = endpoint.expires_at && *endpoint.expires_at <= now && endpoint.outstanding == 0;
    if (!has_expired) {
      ++item;
      continue;
    }
    gone.push_back(item->first);
    unlist(endpoint);
    item = endpoints_.erase(item);
  }
  if (!gone.empty()) countSenders();
  return gone;
}

}  // namespace cometstand::sidecar

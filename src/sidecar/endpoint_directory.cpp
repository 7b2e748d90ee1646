#include "sidecar/endpoint_directory.h"

#include <algorithm>

namespace cometstand::sidecar {
namespace {

/// How long endpoints are kept that a store does not know when it begins to send records: it may have started
/// a moment ago.
constexpr Duration kUnconfirmedLease = std::chrono::seconds(3);
/// Spreads senders that know the same over endpoints of about the same load.
constexpr double kRandomCost = 0.25;
/// What an endpoint costs that breaks off every answer, in units of a full target: the sound ones go first,
/// and what they refuse goes there.
constexpr double kFailureCost = 4;
/// Its word on that counts half after this time, so that it is tried again.
constexpr Duration kFailureHalfLife = std::chrono::seconds(2);
/// The same for how slow a target is.
constexpr Duration kSlownessHalfLife = std::chrono::seconds(4);
/// What a target costs that takes twice as long as the mean while all are idle, in units of a full target.
/// The fewer slots are free, the less: when all are busy each must get its share.
constexpr double kSlownessCost = 0.5;
/// Bounds of how many times as slow as the mean a target counts.
constexpr double kFastest = 0.3;
constexpr double kSlowest = 5;
constexpr double kPermille = 1000;
constexpr std::size_t kThousand = 1'000;
constexpr double kAvoidCost = 100;
/// How long bodies wait at an endpoint counts half after this time: the queue there is some bodies long, each
/// of which takes some 100 ms on a narrow link.
constexpr Duration kIntakeHalfLife = std::chrono::milliseconds(500);

/// Times the usual answer time for which an endpoint may be silent at no cost, and what each further one
/// costs, in units of a full target.
constexpr double kUsualSilence = 1.5;
constexpr double kSilenceCost = 2;
/// Weight of the newest answer.
constexpr double kNewestAnswer = 0.05;

constexpr std::uint64_t kRandomSteps = 1'000;

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
    endpoint.instance = record->endpoint;
    endpoint.version = record->version;
    endpoint.zone = record->zone;
    endpoint.slots = std::max(1U, record->slots);
    endpoint.live = record->state == wire::EndpointState::Live || record->state == wire::EndpointState::Cold;
    endpoint.expires_at.reset();
  }
}

void EndpointDirectory::setService(Endpoint& endpoint, const std::string& service) {
  auto& listed = by_service_[service];
  if (std::find(listed.begin(), listed.end(), &endpoint) != listed.end()) return;
  unlist(endpoint);
  endpoint.service = service;
  listed.push_back(&endpoint);
}

void EndpointDirectory::unlist(Endpoint& endpoint) {
  const auto listed = by_service_.find(endpoint.service);
  if (listed == by_service_.end()) return;
  std::erase(listed->second, &endpoint);
}

Endpoint* EndpointDirectory::find(const runtime::Address& address) {
  const auto found = endpoints_.find(address);
  return found == endpoints_.end() ? nullptr : &found->second;
}

double EndpointDirectory::scoreOf(const Endpoint& endpoint, const EndpointWant& want,
                                  const LoadEstimate& estimate, RandomSource& random, TimePoint now) const {
  const double spread = static_cast<double>(random.uniform(0, kRandomSteps)) / kRandomSteps;
  double score = estimate.requestsAt(endpoint) / endpoint.slots + kRandomCost * spread;
  const double mean_run_time = estimate.meanRunTime();
  if (mean_run_time > 0 && endpoint.run_time > 0) {
    const double slowness = std::clamp(endpoint.run_time / mean_run_time, kFastest, kSlowest);
    score +=
        kSlownessCost * estimate.freeShare() * (slowness - 1) * trustIn(endpoint, kSlownessHalfLife, now);
  }
  if (endpoint.zone != own_zone_) score += zone_cost_.of(want.bytes);
  score += kFailureCost * endpoint.failure_rate * trustIn(endpoint, kFailureHalfLife, now);
  if (want.has_large_body && want.patience > Duration::zero()) {
    // An endpoint that would make the body wait for as long as it may counts like a full target.
    const double share =
        static_cast<double>(endpoint.intake_wait.count()) / static_cast<double>(want.patience.count());
    score += share * trustIn(endpoint, kIntakeHalfLife, now);
  }
  score += silenceCost(endpoint, now);
  if (endpoint.avoid_until > now) score += kAvoidCost;
  return score;
}

/// An endpoint whose link or machine is choked refuses nothing and answers nothing, so it would look free
/// beside others that say that they are full.
double EndpointDirectory::silenceCost(const Endpoint& endpoint, TimePoint now) const {
  const auto usual = answer_time_.find(endpoint.service);
  if (endpoint.outstanding == 0 || usual == answer_time_.end()) return 0;
  const auto silence = static_cast<double>((now - endpoint.silent_since).count());
  return kSilenceCost * std::max(0.0, silence / usual->second - kUsualSilence);
}

void EndpointDirectory::noteSent(Endpoint& endpoint, TimePoint now) {
  if (endpoint.outstanding == 0) endpoint.silent_since = now;
  ++endpoint.outstanding;
}

void EndpointDirectory::noteAnswered(const std::string& service, Duration time) {
  const auto value = static_cast<double>(time.count());
  const auto [known, is_first] = answer_time_.try_emplace(service, value);
  if (!is_first) known->second += kNewestAnswer * (value - known->second);
}

Endpoint* EndpointDirectory::choose(const EndpointWant& want, const std::set<runtime::Address>& tried,
                                    RandomSource& random, TimePoint now) {
  const auto listed = by_service_.find(want.service);
  if (listed == by_service_.end()) return nullptr;
  std::vector<Endpoint*> candidates;
  candidates.reserve(listed->second.size());
  LoadEstimate estimate(now);
  for (auto* endpoint : listed->second) {
    if (!endpoint->live || !endpoint->linked) continue;
    estimate.add(*endpoint);
    const bool is_candidate = !tried.contains(endpoint->address) && want.versions.admits(endpoint->version);
    if (is_candidate) candidates.push_back(endpoint);
  }
  if (want.versions.pool == VersionFilter::Pool::Canary) keepShare(candidates, want.versions.canary_permille);
  Endpoint* best = nullptr;
  double best_score = 0;
  for (auto* endpoint : candidates) {
    const double score = scoreOf(*endpoint, want, estimate, random, now);
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

bool EndpointDirectory::knows(const std::string& service) const {
  const auto listed = by_service_.find(service);
  return listed != by_service_.end() && std::any_of(listed->second.begin(), listed->second.end(),
                                                    [](const auto* endpoint) { return endpoint->live; });
}

void EndpointDirectory::onReply(Endpoint& endpoint, const wire::ForwardReplyT& reply, TimePoint now) const {
  endpoint.reported_load = reply.running + reply.waiting;
  endpoint.failure_rate = reply.failure_permille / kPermille;
  endpoint.run_time = reply.run_time_permille / kPermille;
  endpoint.intake_wait = std::chrono::milliseconds(reply.intake_wait_ms);
  endpoint.reported_at = now;
  endpoint.silent_since = now;
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
  return gone;
}

}  // namespace cometstand::sidecar

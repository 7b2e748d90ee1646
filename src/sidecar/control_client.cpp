#include "sidecar/control_client.h"

#include <algorithm>

#include "base/error.h"
#include "base/event_log.h"
#include "mesh/configuration.h"
#include "settings/units.h"
#include "sidecar/events.h"

namespace cometstand::sidecar {
namespace {

constexpr Duration kCheckInterval = std::chrono::milliseconds(250);
/// A source that sends nothing for this long is treated as failed; it sends a heartbeat every 300 ms.
constexpr Duration kSourceTimeout = std::chrono::milliseconds(1'200);
/// Like kSourceTimeout, for a store that is not the source and sends a heartbeat every 15 s.
constexpr Duration kStoreTimeout = std::chrono::seconds(35);

/// After the source is lost, a sidecar that has a configuration selects no store of another zone for this
/// long while one of its own zone may reconnect, because each new source sends the full list of endpoints. It
/// spans a few reconnect attempts.
constexpr Duration kSameZoneGracePeriod = std::chrono::milliseconds(500);
/// A store that is not linked and that no heartbeat lists any more is removed after this time.
constexpr Duration kUnlistedStoreRetention = std::chrono::seconds(10);

}  // namespace

using runtime::Address;
using runtime::LinkId;

ControlClient::ControlClient(const SidecarOptions& options, runtime::ActionQueue& actions,
                             RandomSource& random, ControlListener& listener)
    : options_(options), actions_(actions), listener_(listener), links_(actions, random) {}

void ControlClient::begin(TimePoint now) { setSeeds(options_.seeds, now); }

void ControlClient::setSeeds(std::vector<Address> seeds, TimePoint now) {
  seeds_ = std::move(seeds);
  for (const auto& seed : seeds_) {
    stores_[seed].last_listed_at = now;
    links_.add(seed, now);
  }
  links_.onTimer(now);
}

void ControlClient::onLinkOpened(LinkId link, TimePoint now) {
  const auto address = links_.onLinkOpened(link);
  if (!address) return;
  logEvent(kStoreLinked, {{"store", settings::formatAddress(*address)}});
  stores_[*address].last_message_at = now;
  wire::NodeHelloT hello;
  hello.node = options_.node;
  hello.zone = options_.zone;
  actions_.send(link, hello, 0);
  sendReport(link);
}

void ControlClient::sendReport(LinkId link) const {
  wire::EndpointUpdateT update;
  if (own_record_ != nullptr) update.records.push_back(own_record_);
  actions_.send(link, std::move(update), 0);
}

void ControlClient::report(const wire::EndpointRecordT& record) {
  own_record_ = std::make_shared<wire::EndpointRecordT>(record);
  for (const auto& [address, store] : stores_) {
    if (const auto link = links_.linkTo(address)) sendReport(*link);
  }
}

void ControlClient::send(const Address& store, wire::RolloutReportT report) {
  if (const auto link = links_.linkTo(store)) actions_.send(*link, std::move(report), 0);
}

std::optional<Address> ControlClient::requestQuota(const wire::QuotaRequestT& request,
                                                   const std::optional<Address>& preferred,
                                                   const std::optional<Address>& unresponsive) {
  std::vector<std::optional<Address>> candidates{preferred};
  if (source_ != unresponsive) candidates.push_back(source_);
  for (const auto& [address, store] : stores_) {
    if (address != unresponsive) candidates.emplace_back(address);
  }
  candidates.push_back(unresponsive);
  for (const auto& candidate : candidates) {
    const auto link = candidate ? links_.linkTo(*candidate) : std::nullopt;
    if (!link) continue;
    actions_.send(*link, request, 0);
    return candidate;
  }
  return std::nullopt;
}

void ControlClient::broadcast(const runtime::MessagePointer& message) {
  for (const auto& [address, store] : stores_) {
    if (const auto link = links_.linkTo(address)) actions_.send(*link, message);
  }
}

void ControlClient::onLinkClosed(LinkId link, TimePoint now) {
  const auto address = links_.onLinkClosed(link, now);
  if (!address) return;
  auto& store = stores_[*address];
  if (store.is_current) logEvent(kStoreLost, {{"store", settings::formatAddress(*address)}});
  store.is_current = false;
  chooseSource(now);
}

void ControlClient::onMessage(LinkId link, const wire::EnvelopeT& message, TimePoint now) {
  const auto address = links_.addressOf(link);
  if (!address) return;
  stores_[*address].last_message_at = now;
  const bool is_source = source_ == address;
  if (const auto* heartbeat = message.body.AsStoreBeat()) {
    onStoreHeartbeat(*address, link, *heartbeat, now);
  } else if (const auto* update = message.body.AsMeshUpdate()) {
    stores_[*address].revision = std::max(stores_[*address].revision, update->revision);
    onUpdate(*update, now);
  } else if (const auto* endpoints = message.body.AsEndpointUpdate()) {
    if (is_source) listener_.onEndpoints(*endpoints, std::exchange(awaits_full_update_, false), now);
  } else if (const auto* rollouts = message.body.AsRolloutUpdate()) {
    if (is_source) listener_.onRollouts(*rollouts, now);
  } else if (const auto* quarantine = message.body.AsQuarantineUpdate()) {
    if (is_source) listener_.onQuarantine(*quarantine);
  } else if (const auto* evacuations = message.body.AsEvacuationUpdate()) {
    // Accepted from any store, as the latest state takes precedence irrespective of its sender.
    listener_.onEvacuations(*evacuations, now);
  } else if (const auto* acknowledged_report = message.body.AsCrashReport()) {
    listener_.onCrashReportAcknowledged(acknowledged_report->instance);
  } else if (const auto* notice = message.body.AsLeaveNotice()) {
    listener_.onLeaveNoticeCommitted(*notice, now);
  } else if (const auto* list = message.body.AsLeaveNoticeList()) {
    listener_.onLeaveNoticeList(*list, now);
  } else if (const auto* grant = message.body.AsQuotaGrant()) {
    listener_.onQuotaGrant(*address, *grant, now);
  }
}

void ControlClient::onStoreHeartbeat(const Address& address, LinkId link, const wire::StoreBeatT& heartbeat,
                                     TimePoint now) {
  auto& store = stores_[address];
  store.is_current = heartbeat.is_current;
  store.revision = heartbeat.revision;
  store.last_heartbeat_at = now;
  updateStores(heartbeat, now);
  // The response to the heartbeat shows the store that this sidecar is alive.
  actions_.send(link, wire::EndpointUpdateT(), 0);
  chooseSource(now);
}

void ControlClient::updateStores(const wire::StoreBeatT& heartbeat, TimePoint now) {
  for (const auto& replica : heartbeat.replicas) {
    const Address address{replica->host, replica->port};
    auto& store = stores_[address];
    store.zone = replica->zone;
    store.last_listed_at = now;
    links_.add(address, now);
  }
}

void ControlClient::onUpdate(const wire::MeshUpdateT& update, TimePoint now) {
  if (update.revision <= revision_) return;
  mesh::RouteTablePointer table;
  try {
    const mesh::Bytes none;
    const bool is_patch = update.base_revision != 0;
    if (is_patch && update.base_revision != revision_) {
      throw Error(ErrorKind::Mismatch, "the configuration update is based on another revision",
                  "request the full configuration");
    }
    auto bytes = mesh::decompress(update.configuration, is_patch ? configuration_ : none);
    table = std::make_shared<const mesh::RouteTable>(update.revision, mesh::decodeConfiguration(bytes));
    configuration_ = std::move(bytes);
  } catch (const Error& error) {
    logEvent(kUpdateRefused, {{"revision", update.revision}, {"reason", error.what()}});
    subscribe(0);
    return;
  }
  revision_ = update.revision;
  logEvent(kConfigurationInForce, {{"revision", revision_}});
  listener_.onConfiguration(table, now);
}

bool ControlClient::isUsable(const Address& address, const Store& store) const {
  return store.is_current && links_.linkTo(address).has_value();
}

/// A store that is not the source rarely reports its revision, so an old report is ignored. Once the store is
/// the source, it sends frequent heartbeats, and another source is selected if it is outdated.
bool ControlClient::isOutdated(const Store& store, TimePoint now) const {
  return store.revision < revision_ && now < store.last_heartbeat_at + kSourceTimeout;
}

void ControlClient::chooseSource(TimePoint now) {
  const auto best = findBestSource(now);
  if (best == source_) return;
  if (!best) source_lost_at_ = now;
  if (source_) {
    if (const auto link = links_.linkTo(*source_)) {
      wire::NodeSubscribeT unsubscribe;
      unsubscribe.wants_updates = false;
      actions_.send(*link, unsubscribe, 0);
    }
  }
  if (!best) logEvent(kSourceLost, {{"store", settings::formatAddress(*source_)}});
  source_ = best;
  if (!source_) return;
  awaits_full_update_ = true;
  // The timeout of the new source starts now, because its last heartbeat may be seconds old.
  stores_[*source_].last_message_at = now;
  logEvent(kSourceChosen, {{"store", settings::formatAddress(*source_)}, {"revision", revision_}});
  subscribe(revision_);
}

void ControlClient::subscribe(std::uint64_t have_revision) {
  if (!source_ || !links_.linkTo(*source_)) return;
  wire::NodeSubscribeT request;
  request.have_revision = have_revision;
  actions_.send(*links_.linkTo(*source_), request, 0);
}

bool ControlClient::awaitsSameZoneStore(TimePoint now) const {
  if (revision_ == 0 || source_ || now >= source_lost_at_ + kSameZoneGracePeriod) return false;
  return std::any_of(stores_.begin(), stores_.end(),
                     [this](const auto& item) { return item.second.zone == options_.zone; });
}

/// Prefers a store of the own zone, then one of the own region. Among equals it prefers the current source.
std::optional<Address> ControlClient::findBestSource(TimePoint now) const {
  const bool same_zone_only = awaitsSameZoneStore(now);
  std::optional<Address> best;
  int best_rank = 0;
  for (const auto& [address, store] : stores_) {
    if (!isUsable(address, store) || isOutdated(store, now)) continue;
    constexpr int kSameZoneRank = 4;
    constexpr int kSameRegionRank = 2;
    const auto distance = distanceOf(store);
    const bool is_same_zone = distance == mesh::ZoneDistance::SameZone;
    if (same_zone_only && !is_same_zone) continue;
    const bool is_same_region = distance != mesh::ZoneDistance::OtherRegion;
    const int rank = 1 + (is_same_zone ? kSameZoneRank : 0) + (is_same_region ? kSameRegionRank : 0) +
                     (source_ == address ? 1 : 0);
    if (rank <= best_rank) continue;
    best = address;
    best_rank = rank;
  }
  return best;
}

void ControlClient::closeUnresponsive(TimePoint now) {
  for (auto& [address, store] : stores_) {
    const bool is_unresponsive =
        links_.linkTo(address) &&
        store.last_message_at + (address == source_ ? kSourceTimeout : kStoreTimeout) < now;
    if (!is_unresponsive) continue;
    links_.reset(address);
    store.is_current = false;
  }
  chooseSource(now);
  for (auto store = stores_.begin(); store != stores_.end();) {
    const bool is_seed = std::find(seeds_.begin(), seeds_.end(), store->first) != seeds_.end();
    const bool is_kept = is_seed || links_.linkTo(store->first) ||
                         store->second.last_listed_at + kUnlistedStoreRetention > now;
    if (is_kept) {
      ++store;
      continue;
    }
    links_.remove(store->first);
    store = stores_.erase(store);
  }
}

void ControlClient::onTimer(TimePoint now) {
  links_.onTimer(now);
  if (now < check_at_) return;
  check_at_ = now + kCheckInterval;
  closeUnresponsive(now);
}

TimePoint ControlClient::nextTimer() const { return std::min(links_.nextTimer(), check_at_); }

}  // namespace cometstand::sidecar

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
/// A source without a beat for this long is taken for dead; its beats come every 300 ms.
constexpr Duration kSourceSilence = std::chrono::milliseconds(1'200);
/// The same for a store that is not the source; its beats come every 15 s.
constexpr Duration kStoreSilence = std::chrono::seconds(35);

/// After a cut a sidecar that has a configuration takes no store of another zone for this long, while one of
/// its own zone may come back: each new source sends it the whole list of endpoints. Some reconnects.
constexpr Duration kNearStorePatience = std::chrono::milliseconds(500);
/// A store that no beat names any more, and that does not answer, is forgotten after this time.
constexpr Duration kUnnamedLease = std::chrono::seconds(10);

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
    stores_[seed].named_at = now;
    links_.add(seed, now);
  }
  links_.onTimer(now);
}

void ControlClient::onLinkOpened(LinkId link, TimePoint now) {
  const auto address = links_.onLinkOpened(link);
  if (!address) return;
  logEvent(kStoreLinked, {{"store", settings::formatAddress(*address)}});
  stores_[*address].heard_at = now;
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

std::optional<Address> ControlClient::askForQuota(const wire::QuotaRequestT& request,
                                                  const std::optional<Address>& wanted,
                                                  const std::optional<Address>& silent) {
  std::vector<std::optional<Address>> choices{wanted};
  if (source_ != silent) choices.push_back(source_);
  for (const auto& [address, store] : stores_) {
    if (address != silent) choices.emplace_back(address);
  }
  choices.push_back(silent);
  for (const auto& choice : choices) {
    const auto link = choice ? links_.linkTo(*choice) : std::nullopt;
    if (!link) continue;
    actions_.send(*link, request, 0);
    return choice;
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
  stores_[*address].heard_at = now;
  const bool is_source = source_ == address;
  if (const auto* beat = message.body.AsStoreBeat()) {
    onBeat(*address, link, *beat, now);
  } else if (const auto* update = message.body.AsMeshUpdate()) {
    stores_[*address].revision = std::max(stores_[*address].revision, update->revision);
    onUpdate(*update, now);
  } else if (const auto* endpoints = message.body.AsEndpointUpdate()) {
    if (is_source) listener_.onEndpoints(*endpoints, std::exchange(awaits_whole_, false), now);
  } else if (const auto* rollouts = message.body.AsRolloutUpdate()) {
    if (is_source) listener_.onRollouts(*rollouts, now);
  } else if (const auto* quarantine = message.body.AsQuarantineUpdate()) {
    if (is_source) listener_.onQuarantine(*quarantine);
  } else if (const auto* evacuations = message.body.AsEvacuationUpdate()) {
    // From any store: the newest word counts, whoever brings it.
    listener_.onEvacuations(*evacuations, now);
  } else if (const auto* taken = message.body.AsCrashReport()) {
    listener_.onCrashReportTaken(taken->instance);
  } else if (const auto* grant = message.body.AsQuotaGrant()) {
    listener_.onQuotaGrant(*address, *grant, now);
  }
}

void ControlClient::onBeat(const Address& address, LinkId link, const wire::StoreBeatT& beat, TimePoint now) {
  auto& store = stores_[address];
  store.is_current = beat.is_current;
  store.revision = beat.revision;
  store.told_at = now;
  learnStores(beat, now);
  // The answer to the beat shows that this sidecar is alive.
  actions_.send(link, wire::EndpointUpdateT(), 0);
  chooseSource(now);
}

void ControlClient::learnStores(const wire::StoreBeatT& beat, TimePoint now) {
  for (const auto& replica : beat.replicas) {
    const Address address{replica->host, replica->port};
    auto& store = stores_[address];
    store.zone = replica->zone;
    store.named_at = now;
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
      throw Error(ErrorKind::Mismatch, "the update builds on another revision",
                  "ask for the whole configuration");
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

/// A store that is not the source seldom says what it has; an old word of it says nothing. Once it is the
/// source it sends heartbeats, and is left again if it proves to be behind.
bool ControlClient::isBehind(const Store& store, TimePoint now) const {
  return store.revision < revision_ && now < store.told_at + kSourceSilence;
}

void ControlClient::chooseSource(TimePoint now) {
  const auto best = bestSource(now);
  if (best == source_) return;
  if (!best) sourceless_since_ = now;
  if (source_) {
    if (const auto link = links_.linkTo(*source_)) {
      wire::NodeSubscribeT leave;
      leave.wants_updates = false;
      actions_.send(*link, leave, 0);
    }
  }
  if (!best) logEvent(kSourceLost, {{"store", settings::formatAddress(*source_)}});
  source_ = best;
  if (!source_) return;
  awaits_whole_ = true;
  // It has kSourceSilence from now on to say something: its last beat may be seconds old.
  stores_[*source_].heard_at = now;
  logEvent(kSourceChosen, {{"store", settings::formatAddress(*source_)}, {"revision", revision_}});
  subscribe(revision_);
}

void ControlClient::subscribe(std::uint64_t have_revision) {
  if (!source_ || !links_.linkTo(*source_)) return;
  wire::NodeSubscribeT request;
  request.have_revision = have_revision;
  actions_.send(*links_.linkTo(*source_), request, 0);
}

bool ControlClient::waitsForNear(TimePoint now) const {
  if (revision_ == 0 || source_ || now >= sourceless_since_ + kNearStorePatience) return false;
  return std::any_of(stores_.begin(), stores_.end(),
                     [this](const auto& item) { return item.second.zone == options_.zone; });
}

/// The store of the own zone if there is one, else one of the own region, else the one in use, else any.
std::optional<Address> ControlClient::bestSource(TimePoint now) const {
  const bool near_only = waitsForNear(now);
  std::optional<Address> best;
  int best_rank = 0;
  for (const auto& [address, store] : stores_) {
    if (!isUsable(address, store) || isBehind(store, now)) continue;
    constexpr int kNear = 4;
    constexpr int kSameRegion = 2;
    const auto distance = distanceOf(store);
    const bool is_near = distance == mesh::ZoneDistance::SameZone;
    if (near_only && !is_near) continue;
    const bool is_same_region = distance != mesh::ZoneDistance::OtherRegion;
    const int rank =
        1 + (is_near ? kNear : 0) + (is_same_region ? kSameRegion : 0) + (source_ == address ? 1 : 0);
    if (rank <= best_rank) continue;
    best = address;
    best_rank = rank;
  }
  return best;
}

void ControlClient::closeSilent(TimePoint now) {
  for (auto& [address, store] : stores_) {
    const bool is_silent = links_.linkTo(address) &&
                           store.heard_at + (address == source_ ? kSourceSilence : kStoreSilence) < now;
    if (!is_silent) continue;
    links_.reset(address);
    store.is_current = false;
  }
  chooseSource(now);
  for (auto store = stores_.begin(); store != stores_.end();) {
    const bool is_seed = std::find(seeds_.begin(), seeds_.end(), store->first) != seeds_.end();
    const bool is_kept =
        is_seed || links_.linkTo(store->first) || store->second.named_at + kUnnamedLease > now;
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
  closeSilent(now);
}

TimePoint ControlClient::nextTimer() const { return std::min(links_.nextTimer(), check_at_); }

}  // namespace cometstand::sidecar

// The part of RelayCore that deals with endpoint records, reports upwards, and orders.
#include <algorithm>
#include <set>

#include "base/event_log.h"
#include "relay/events.h"
#include "relay/relay_core.h"

namespace cometstand::relay {

using runtime::LinkId;

namespace {

constexpr Duration kAdoptInterval = std::chrono::milliseconds(500);

}  // namespace

/// Also while it stops: until its links end nobody else takes its zone over.
bool RelayCore::isProber() const { return !mesh_.hasSmallerPeerInZone(); }

/// A zone whose relays are all gone has nobody who asks its endpoints whether they leave. The linked relay of
/// the smallest name does it meanwhile.
void RelayCore::adoptOrphanZones(TimePoint now) {
  if (now < adopt_at_) return;
  adopt_at_ = now + kAdoptInterval;
  std::set<std::string> orphans;
  if (!stopping_ && mesh_.isSmallestLinked()) {
    orphans = monitor_.zones();
    std::erase_if(orphans, [this](const std::string& zone) {
      return zone == options_.zone || mesh_.hasPeerInZone(zone);
    });
  }
  monitor_.setAdopted(std::move(orphans), now);
}

/// Carries out what follows from links that came or went.
void RelayCore::refreshMembership(TimePoint now) {
  monitor_.setActive(isProber(), now);
  adoptOrphanZones(now);
  mesh_.setOwnProxies(static_cast<std::uint32_t>(proxies_.count()), now);
  // Whether there is something to report is looked at then, once for all events of the interval.
  if (upstream_.link())
    report_at_ = std::min(report_at_, std::max(now, last_report_ + options_.report_interval));
  if (meshProxies() != shared_among_) {
    share_at_ = std::min(share_at_, std::max(now, last_share_ + options_.share_interval));
  }
  if (stopping_ && stop_deadline_ <= now) {
    stop_passed_ = true;
    stop_deadline_ = TimePoint::max();
  }
}

FleetSummary RelayCore::ownSummary() const {
  FleetSummary summary = proxies_.summary();
  summary.add(followers_.summary());
  return summary;
}

std::uint32_t RelayCore::meshProxies() const {
  return static_cast<std::uint32_t>(proxies_.count()) + mesh_.remoteProxies();
}

void RelayCore::reportUpstream(TimePoint now) {
  report_at_ = TimePoint::max();
  last_report_ = now;
  const auto link = upstream_.link();
  const FleetSummary summary = ownSummary();
  if (!link || (has_reported_ && summary == reported_)) return;
  has_reported_ = true;
  reported_ = summary;
  wire::InForceReportT report;
  report.relay = options_.name;
  report.zone = options_.zone;
  report.proxies = reported_.proxies;
  report.in_force_version = reported_.proxies == 0 ? index_.version() : reported_.in_force_version;
  actions_.send(*link, std::move(report), 0);
}

void RelayCore::shareConnections(TimePoint now) {
  share_at_ = TimePoint::max();
  last_share_ = now;
  shared_among_ = meshProxies();
  proxies_.sendShare(std::max(shared_among_, 1U));
}

void RelayCore::beginStatus(LinkId asker, std::uint64_t request_id, const wire::StatusRequestT& request,
                            TimePoint now) {
  wire::StatusReplyT own;
  if (request.proxies) own.proxies = proxies_.statuses();
  if (!request.service.empty()) own.endpoints = table_.recordsOfService(request.tenant, request.service);
  status_.begin(asker, request_id, request, std::move(own), followers_.links(), now);
}

void RelayCore::onStopOrder(const wire::StopOrderT& order, TimePoint now) {
  followers_.sendToAll(order);
  switch (order.kind) {
    case wire::StopKind::Proxy:
      proxies_.sendStopOrder(order);
      break;
    case wire::StopKind::Relay:
      if (order.name == options_.name) beginStop(now);
      break;
    case wire::StopKind::Endpoint:
      publish(monitor_.onStopOrder({order.tenant, order.name, order.endpoint}, now), now);
      break;
  }
}

void RelayCore::sendWholeTable(LinkId link) {
  wire::EndpointUpdateT update;
  for (const auto& [id, record] : table_.records()) update.records.push_back(record);
  if (!update.records.empty()) actions_.send(link, std::move(update), 0);
}

std::vector<ProbeTarget> RelayCore::probeTargets() const { return monitor_.targets(); }

void RelayCore::onProbeResult(const view::EndpointId& endpoint, const ProbeResult& result, TimePoint now) {
  publish(monitor_.onProbe(endpoint, result, now), now);
}

void RelayCore::onMachineList(const std::vector<MachineState>& machines, TimePoint now) {
  publish(monitor_.onMachineList(machines, now), now);
}

/// A proxy may only say that an endpoint of its tenants leaves; what it says of the rest is not used.
void RelayCore::onSightings(LinkId link, const wire::EndpointUpdateT& update, TimePoint now) {
  for (const auto& seen : update.records) {
    const bool is_usable =
        seen && seen->state == wire::EndpointState::Leaving && proxies_.holdsTenant(link, seen->tenant);
    if (!is_usable) continue;
    const auto known = table_.find(view::endpointId(*seen));
    if (known && seen->incarnation < known->incarnation) continue;
    auto record = std::make_shared<wire::EndpointRecordT>(known ? *known : *seen);
    record->state = wire::EndpointState::Leaving;
    if (!known) {
      record->incarnation = 0;
      record->sequence = 1;
    }
    publish({record}, now);
    publish(monitor_.onSighting(view::endpointId(*record), record->incarnation, now), now);
  }
}

/// Records of peers go to the own proxies only: the peers hear them from their origin.
void RelayCore::onPeerRecords(const wire::EndpointUpdateT& update, TimePoint now) {
  std::vector<view::EndpointRecordPointer> changed;
  for (const auto& record : update.records) {
    if (table_.merge(record)) changed.push_back(record);
  }
  sendToProxies(changed, now);
  for (const auto& record : update.records) {
    if (!record || record->state != wire::EndpointState::Leaving) continue;
    publish(monitor_.onSighting(view::endpointId(*record), record->incarnation, now), now);
  }
}

void RelayCore::publish(const std::vector<view::EndpointRecordPointer>& records, TimePoint now) {
  std::vector<view::EndpointRecordPointer> changed;
  for (const auto& record : records) {
    if (!table_.merge(record)) continue;
    changed.push_back(record);
    logEvent(kEndpointChanged, {{"tenant", record->tenant},
                                {"service", record->service},
                                {"endpoint", record->endpoint},
                                {"state", wire::EnumNameEndpointState(record->state)}});
  }
  if (changed.empty()) return;
  wire::EndpointUpdateT update;
  update.records = changed;
  mesh_.broadcast(std::make_shared<const wire::EnvelopeT>(runtime::makeEnvelope(std::move(update))));
  sendToProxies(changed, now);
}

/// What takes work away goes at once; the rest waits for others within the batch window.
void RelayCore::sendToProxies(const std::vector<view::EndpointRecordPointer>& records, TimePoint now) {
  std::vector<view::EndpointRecordPointer> urgent;
  for (const auto& record : records) {
    const bool is_urgent = record->state >= wire::EndpointState::Leaving;
    (is_urgent ? urgent : batched_records_).push_back(record);
  }
  if (!urgent.empty()) proxies_.sendEndpoints(urgent);
  if (!batched_records_.empty()) records_at_ = std::min(records_at_, now + options_.batch_window);
}

void RelayCore::flushRecords() {
  records_at_ = TimePoint::max();
  proxies_.sendEndpoints(std::exchange(batched_records_, {}));
}

}  // namespace cometstand::relay

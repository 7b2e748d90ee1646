#include "relay/endpoint_monitor.h"

#include <algorithm>
#include <set>

namespace cometstand::relay {
namespace {

view::EndpointId serviceOf(const view::EndpointId& id) { return {id.tenant, id.service, {}}; }

bool takesWork(wire::EndpointState state) { return state <= wire::EndpointState::Live; }

/// Endpoints that must stay for each one that hints may take, of a service's total.
constexpr std::size_t kPanicDivisor = 2;

}  // namespace

std::vector<view::EndpointId> EndpointMonitor::setServices(const std::string& tenant,
                                                           const ConfigurationIndex& index, TimePoint now) {
  const auto is_of_tenant = [&](const auto& item) { return item.first.tenant == tenant; };
  std::map<view::EndpointId, Watched> old;
  for (auto item = watched_.lower_bound({tenant, {}, {}}); item != watched_.end() && is_of_tenant(*item);) {
    old.insert(watched_.extract(item++));
  }
  std::set<view::EndpointId> removed;
  for (auto item = services_.lower_bound({tenant, {}, {}}); item != services_.end() && is_of_tenant(*item);) {
    removed.insert(item->second.begin(), item->second.end());
    item = services_.erase(item);
  }
  index.forEachService(tenant, [&](const std::string& service, const wire::ServiceSpecT& spec) {
    auto& members = services_[{tenant, service, {}}];
    for (const auto& endpoint : spec.endpoints) {
      const view::EndpointId id{tenant, service, endpoint->name};
      members.push_back(id);
      removed.erase(id);
      const auto known = old.find(id);
      Watched watched = known == old.end() ? Watched() : known->second;
      if (known == old.end()) watched.lease_until = now + options_.lease;
      watched.spec = *endpoint;
      if (isOwn(watched)) check_at_ = std::min(check_at_, watched.lease_until);
      watched_.emplace(id, std::move(watched));
    }
  });
  return {removed.begin(), removed.end()};
}

void EndpointMonitor::setActive(bool active, TimePoint now) {
  if (active && !active_) {
    for (auto& [id, watched] : watched_) {
      if (isOwn(watched)) watched.lease_until = now + options_.lease;
    }
    check_at_ = now + options_.lease;
  }
  active_ = active;
}

void EndpointMonitor::setAdopted(std::set<std::string> zones, TimePoint now) {
  for (auto& [id, watched] : watched_) {
    // The machine list counts once probes have had their time.
    if (zones.contains(watched.spec.zone) && !isAdopted(watched)) watched.lease_until = now + options_.lease;
  }
  adopted_ = std::move(zones);
}

std::set<std::string> EndpointMonitor::zones() const {
  std::set<std::string> zones;
  for (const auto& [id, watched] : watched_) zones.insert(watched.spec.zone);
  return zones;
}

std::vector<ProbeTarget> EndpointMonitor::targets() const {
  std::vector<ProbeTarget> targets;
  for (const auto& [id, watched] : watched_) {
    if (!isProbed(watched)) continue;
    targets.push_back({id, {watched.spec.address, watched.spec.port}});
  }
  return targets;
}

view::EndpointRecordPointer EndpointMonitor::makeRecord(const view::EndpointId& id, const Watched& watched,
                                                        std::uint64_t incarnation,
                                                        wire::EndpointState state) const {
  const auto known = table_.find(id);
  const bool is_same_incarnation = known && known->incarnation == incarnation;
  auto record = std::make_shared<wire::EndpointRecordT>();
  record->tenant = id.tenant;
  record->service = id.service;
  record->endpoint = id.endpoint;
  record->address = watched.spec.address;
  record->port = watched.spec.port;
  record->zone = watched.spec.zone;
  record->slots = watched.spec.slots;
  record->max_connections = watched.spec.max_connections;
  record->incarnation = incarnation;
  record->sequence = is_same_incarnation ? known->sequence + 1 : options_.first_sequence;
  record->state = state;
  return record;
}

bool EndpointMonitor::isAvailable(const view::EndpointId& id) const {
  const auto record = table_.find(id);
  return !record || takesWork(record->state);
}

/// @param pending records decided on in the same step, which are not in the table yet.
bool EndpointMonitor::mayLose(const view::EndpointId& id, const Records& pending) const {
  const auto service = services_.find(serviceOf(id));
  if (service == services_.end()) return true;
  const auto& members = service->second;
  const auto is_lost_now = [&](const view::EndpointId& member) {
    return std::any_of(pending.begin(), pending.end(), [&](const auto& record) {
      return view::endpointId(*record) == member && !takesWork(record->state);
    });
  };
  const auto stays = [&](const view::EndpointId& member) {
    return member != id && isAvailable(member) && !is_lost_now(member);
  };
  const auto left = static_cast<std::size_t>(std::count_if(members.begin(), members.end(), stays));
  return left * kPanicDivisor >= members.size();
}

void EndpointMonitor::loseOnHint(const view::EndpointId& id, Watched& watched, std::uint64_t incarnation,
                                 Records& records) {
  if (!isAvailable(id)) return;
  watched.suppressed = !mayLose(id, records);
  if (!watched.suppressed)
    records.push_back(makeRecord(id, watched, incarnation, wire::EndpointState::Leaving));
}

EndpointMonitor::Records EndpointMonitor::onProbe(const view::EndpointId& id, const ProbeResult& result,
                                                  TimePoint now) {
  Records records;
  const auto found = watched_.find(id);
  if (found == watched_.end() || !isProbed(found->second) || !result.answered) return records;
  Watched& watched = found->second;
  watched.lease_until = now + options_.lease;
  watched.suppressed = false;
  const auto known = table_.find(id);
  if (known && known->incarnation > result.incarnation) return records;
  const bool is_new = !known || known->incarnation < result.incarnation;
  if (is_new) {
    watched.stop_ordered = false;
    watched.held_until = TimePoint();
  }
  if (!takesWork(result.state)) {
    loseOnHint(id, watched, result.incarnation, records);
    return records;
  }
  const bool is_held = watched.stop_ordered || watched.held_until > now;
  if (!is_new && (is_held || known->state == result.state)) return records;
  watched.revived_at = now;
  records.push_back(makeRecord(id, watched, result.incarnation, result.state));
  return records;
}

EndpointMonitor::Records EndpointMonitor::onMachineList(const std::vector<MachineState>& machines,
                                                        TimePoint now) {
  Records records;
  std::vector<runtime::Address> leaving;
  for (const auto& machine : machines) {
    if (machine.leaving) leaving.push_back(machine.address);
  }
  for (auto& [id, watched] : watched_) {
    if (!isProbed(watched)) continue;
    const runtime::Address address{watched.spec.address, watched.spec.port};
    if (std::find(leaving.begin(), leaving.end(), address) == leaving.end()) continue;
    // A probe that was answered lately outranks the list.
    if (watched.lease_until > now + options_.lease / 2) continue;
    const auto known = table_.find(id);
    loseOnHint(id, watched, known ? known->incarnation : 0, records);
  }
  return records;
}

EndpointMonitor::Records EndpointMonitor::onSighting(const view::EndpointId& id, std::uint64_t incarnation,
                                                     TimePoint now) {
  Records records;
  const auto found = watched_.find(id);
  const auto known = table_.find(id);
  if (found == watched_.end() || !known || known->incarnation != incarnation) return records;
  if (!isOwn(found->second) && !isAdopted(found->second)) return records;
  Watched& watched = found->second;
  watched.held_until = now + options_.sighting_hold;
  const bool was_overtaken = takesWork(known->state) && watched.revived_at + options_.sighting_hold > now;
  if (was_overtaken) records.push_back(makeRecord(id, watched, incarnation, wire::EndpointState::Leaving));
  return records;
}

EndpointMonitor::Records EndpointMonitor::onStopOrder(const view::EndpointId& id, TimePoint /*now*/) {
  Records records;
  const auto found = watched_.find(id);
  if (found == watched_.end() || (!isOwn(found->second) && !isAdopted(found->second))) return records;
  found->second.stop_ordered = true;
  if (!isAvailable(id)) return records;
  const auto known = table_.find(id);
  records.push_back(
      makeRecord(id, found->second, known ? known->incarnation : 0, wire::EndpointState::Leaving));
  return records;
}

EndpointMonitor::Records EndpointMonitor::onTimer(TimePoint now) {
  Records records;
  if (!active_ || check_at_ > now) return records;
  check_at_ = TimePoint::max();
  for (auto& [id, watched] : watched_) {
    if (!isOwn(watched)) continue;
    if (watched.lease_until <= now) {
      const auto known = table_.find(id);
      loseOnHint(id, watched, known ? known->incarnation : 0, records);
      // Looked at again later: others of the service may have come back by then.
      watched.lease_until = now + options_.lease / 2;
    }
    check_at_ = std::min(check_at_, watched.lease_until);
  }
  return records;
}

}  // namespace cometstand::relay

#include "proxy/endpoint_set.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace cometstand::proxy {
namespace {

auto order(const wire::EndpointRecordT& record) {
  return std::make_tuple(record.incarnation, record.sequence, record.state);
}

}  // namespace

void EndpointSet::setServices(const ServiceMap& services, TimePoint now) {
  for (auto& [key, service] : services_) {
    if (!services.contains(key)) service.spec = nullptr;
  }
  for (const auto& [key, spec] : services) services_[key].spec = spec;
  for (auto& [key, service] : services_) rebuild(key, service, now);
  std::erase_if(services_, [](const auto& entry) {
    return entry.second.spec == nullptr && entry.second.records.empty();
  });
}

void EndpointSet::applyRecord(const wire::EndpointRecordT& record, TimePoint now) {
  const ServiceKey key{record.tenant, record.service};
  auto& service = services_[key];
  const auto [position, added] = service.records.try_emplace(record.endpoint, record);
  if (!added) {
    if (order(record) <= order(position->second)) return;
    position->second = record;
  }
  rebuild(key, service, now);
}

const std::vector<EndpointPointer>& EndpointSet::endpoints(const ServiceKey& service) const {
  static const std::vector<EndpointPointer> none;
  const auto found = services_.find(service);
  return found == services_.end() ? none : found->second.in_service;
}

bool EndpointSet::hasService(const ServiceKey& service) const {
  const auto found = services_.find(service);
  return found != services_.end() && found->second.spec != nullptr;
}

EndpointPointer& EndpointSet::addKnown(const ServiceKey& key, Service& service, const std::string& name,
                                       TimePoint now) {
  auto& endpoint = service.known[name];
  if (endpoint != nullptr) return endpoint;
  endpoint = std::make_shared<Endpoint>();
  endpoint->key = {key, name};
  if (service.built) endpoint->warm_since = now;
  return endpoint;
}

void EndpointSet::overlay(Endpoint& endpoint, const wire::EndpointRecordT& record, TimePoint now) {
  const bool restarted = endpoint.incarnation != 0 && record.incarnation > endpoint.incarnation;
  if (restarted) {
    endpoint.leaving_until = TimePoint();
    endpoint.outlier.reset();
    endpoint.load = LoadEstimate();
    endpoint.limit = ConcurrencyLimit();
  }
  const bool was_cold = endpoint.state == wire::EndpointState::Cold;
  const bool became_live = record.state == wire::EndpointState::Live && (was_cold || restarted);
  if (became_live) endpoint.warm_since = now;
  endpoint.incarnation = record.incarnation;
  endpoint.state = record.state;
  endpoint.slots = std::max(1U, record.slots);
  endpoint.max_connections = std::max(1U, record.max_connections);
  if (!record.zone.empty()) endpoint.zone = record.zone;
  if (!record.address.empty()) endpoint.address = {record.address, record.port};
}

void EndpointSet::rebuild(const ServiceKey& key, Service& service, TimePoint now) {
  std::set<std::string> present;
  if (service.spec != nullptr) {
    for (const auto& configured : service.spec->endpoints) {
      present.insert(configured->name);
      auto& endpoint = *addKnown(key, service, configured->name, now);
      endpoint.address = {configured->address, configured->port};
      endpoint.zone = configured->zone;
      endpoint.slots = std::max(1U, configured->slots);
      endpoint.max_connections = std::max(1U, configured->max_connections);
    }
  }
  for (const auto& [name, record] : service.records) {
    present.insert(name);
    overlay(*addKnown(key, service, name, now), record, now);
  }
  std::erase_if(service.known, [&](const auto& entry) { return !present.contains(entry.first); });
  service.in_service.clear();
  for (const auto& [name, endpoint] : service.known) {
    endpoint->limit.setCapacity(endpoint->slots);
    if (endpoint->inService()) service.in_service.push_back(endpoint);
  }
  service.built = service.built || !service.in_service.empty();
}

}  // namespace cometstand::proxy

#include "config/reference_index.h"

#include <algorithm>

namespace cometstand::config {
namespace {

const ObjectKeySet kNoKeys;

void addRouteReferences(const wire::ObjectKeyT& key, const wire::RouteSpecT& route,
                        std::vector<wire::ObjectKeyT>& references) {
  references.push_back(makeKey(wire::ObjectKind::Service, key.tenant, route.service));
  if (!route.secret.empty()) {
    references.push_back(makeKey(wire::ObjectKind::Secret, key.tenant, route.secret));
  }
}

template <typename Map, typename Key>
void eraseFrom(Map& map, const Key& key, const wire::ObjectKeyT& member) {
  const auto found = map.find(key);
  if (found == map.end()) return;
  found->second.erase(member);
  if (found->second.empty()) map.erase(found);
}

template <typename Map, typename Key>
const ObjectKeySet& findOrEmpty(const Map& map, const Key& key) {
  const auto found = map.find(key);
  return found == map.end() ? kNoKeys : found->second;
}

}  // namespace

std::vector<wire::ObjectKeyT> referencesOf(const wire::ObjectT& object) {
  std::vector<wire::ObjectKeyT> references;
  const auto& key = *object.key;
  if (const auto* node = object.spec.AsNodeSpec()) {
    for (const auto& tenant : node->tenants) {
      references.push_back(makeKey(wire::ObjectKind::Tenant, tenant, ""));
    }
    return references;
  }
  if (key.kind == wire::ObjectKind::Tenant) return references;
  // The reserved tenant exists without an object.
  if (key.tenant != kMeshTenant) references.push_back(makeKey(wire::ObjectKind::Tenant, key.tenant, ""));
  if (const auto* route = object.spec.AsRouteSpec()) addRouteReferences(key, *route, references);
  return references;
}

std::string comparableHost(const std::string& host) {
  std::string comparable = host;
  const auto to_lower = [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; };
  std::transform(comparable.begin(), comparable.end(), comparable.begin(), to_lower);
  return comparable;
}

void ReferenceIndex::add(const wire::ObjectT& object) {
  for (const auto& reference : referencesOf(object)) referrers_[reference].insert(*object.key);
  const auto* route = object.spec.AsRouteSpec();
  if (route != nullptr) routes_by_host_[comparableHost(route->host)].insert(*object.key);
}

void ReferenceIndex::remove(const wire::ObjectT& object) {
  for (const auto& reference : referencesOf(object)) eraseFrom(referrers_, reference, *object.key);
  const auto* route = object.spec.AsRouteSpec();
  if (route != nullptr) eraseFrom(routes_by_host_, comparableHost(route->host), *object.key);
}

const ObjectKeySet& ReferenceIndex::referrers(const wire::ObjectKeyT& key) const {
  return findOrEmpty(referrers_, key);
}

const ObjectKeySet& ReferenceIndex::routesOfHost(const std::string& comparable_host) const {
  return findOrEmpty(routes_by_host_, comparable_host);
}

}  // namespace cometstand::config

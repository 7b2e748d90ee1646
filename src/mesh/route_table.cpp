#include "mesh/route_table.h"

#include <algorithm>

namespace cometstand::mesh {

RouteTable::RouteTable(std::uint64_t revision, const wire::MeshConfigurationT& configuration)
    : revision_(revision), tenants_(configuration) {
  if (configuration.limits) limits_ = *configuration.limits;
  for (const auto& route : configuration.routes) {
    routes_[route->host].push_back(route);
    by_name_[route->name] = route;
  }
  for (const auto& service : configuration.services) {
    health_paths_[service->name] = service->health_path;
    cold_starts_[service->name] = {service->cold_requests_per_second,
                                   std::chrono::milliseconds(service->cold_start_ms)};
  }
  for (auto& [host, routes] : routes_) {
    std::stable_sort(routes.begin(), routes.end(), [](const RoutePointer& left, const RoutePointer& right) {
      return left->path_prefix.size() > right->path_prefix.size();
    });
  }
}

std::string RouteTable::healthPath(const std::string& service) const {
  const auto found = health_paths_.find(service);
  return found == health_paths_.end() ? std::string() : found->second;
}

ColdStart RouteTable::coldStart(const std::string& service) const {
  const auto found = cold_starts_.find(service);
  return found == cold_starts_.end() ? ColdStart() : found->second;
}

RoutePointer RouteTable::find(std::string_view host, std::string_view path) const {
  const auto routes = routes_.find(host.substr(0, host.find(':')));
  if (routes == routes_.end()) return nullptr;
  const auto plain_path = path.substr(0, path.find('?'));
  const auto found = std::find_if(
      routes->second.begin(), routes->second.end(),
      [plain_path](const RoutePointer& route) { return plain_path.starts_with(route->path_prefix); });
  return found == routes->second.end() ? nullptr : *found;
}

RoutePointer RouteTable::findByName(const std::string& name) const {
  const auto found = by_name_.find(name);
  return found == by_name_.end() ? nullptr : found->second;
}

const std::string& drawService(const wire::MeshRouteT& route, RandomSource& random) {
  std::uint64_t total = 0;
  for (const auto& share : route.shares) total += share->weight;
  std::uint64_t drawn = random.uniform(1, std::max<std::uint64_t>(total, 1));
  for (const auto& share : route.shares) {
    if (drawn <= share->weight) return share->service;
    drawn -= share->weight;
  }
  return route.shares.back()->service;
}

}  // namespace cometstand::mesh

#include "proxy/router.h"

#include <algorithm>
#include <boost/algorithm/string/case_conv.hpp>

namespace cometstand::proxy {
namespace {

std::string_view pathOf(std::string_view target) { return target.substr(0, target.find_first_of("?#")); }

/// @return the next shorter prefix to try: first without a trailing slash, then up to the slash before.
std::string_view shorterPrefix(std::string_view prefix) {
  if (prefix.ends_with('/')) return prefix.substr(0, prefix.size() - 1);
  const auto slash = prefix.find_last_of('/');
  return slash == std::string_view::npos ? std::string_view{} : prefix.substr(0, slash + 1);
}

RoutePointer matchMethod(const std::vector<RoutePointer>& routes, std::string_view method) {
  const auto matches = [&](const RoutePointer& route) {
    return route->method.empty() || route->method == method;
  };
  const auto found = std::find_if(routes.begin(), routes.end(), matches);
  return found == routes.end() ? nullptr : *found;
}

}  // namespace

Router::Router(const std::vector<ObjectPointer>& objects) {
  std::map<ServiceKey, std::string> secrets;
  for (const auto& object : objects) {
    const auto& key = *object->key;
    if (const auto* service = object->spec.AsServiceSpec()) {
      services_[{key.tenant, key.name}] = std::shared_ptr<const wire::ServiceSpecT>(object, service);
    } else if (const auto* secret = object->spec.AsSecretSpec()) {
      secrets[{key.tenant, key.name}] = std::string(secret->value.begin(), secret->value.end());
    } else if (const auto* tenant = object->spec.AsTenantSpec()) {
      tenant_limits_[key.tenant] = tenant->max_in_flight;
    }
  }
  for (const auto& object : objects) {
    if (const auto* route = object->spec.AsRouteSpec()) addRoute(*object->key, *route, secrets);
  }
}

void Router::addRoute(const wire::ObjectKeyT& key, const wire::RouteSpecT& spec,
                      const std::map<ServiceKey, std::string>& secrets) {
  const ServiceKey service{key.tenant, spec.service};
  if (!services_.contains(service)) return;
  const auto secret = secrets.find({key.tenant, spec.secret});
  if (!spec.secret.empty() && secret == secrets.end()) return;
  auto route = std::make_shared<ResolvedRoute>();
  route->name = key.name;
  route->service = service;
  route->host = boost::algorithm::to_lower_copy(spec.host);
  route->path_prefix = spec.path_prefix;
  route->method = spec.method;
  if (!spec.secret.empty()) route->secret = secret->second;
  route->request_class = spec.request_class;
  route->timeout = std::chrono::milliseconds(spec.timeout_ms);
  route->repeatable = spec.repeatable;
  route->max_retries = spec.max_retries;
  auto& same_prefix = hosts_[route->host][route->path_prefix];
  // Exact methods first; among routes of any method, the order of the view's objects.
  const auto position = route->method.empty() ? same_prefix.end() : same_prefix.begin();
  same_prefix.insert(position, std::move(route));
  ++route_count_;
}

RoutePointer Router::findInTable(const PrefixTable& table, std::string_view path, std::string_view method) {
  for (std::string_view prefix = path;; prefix = shorterPrefix(prefix)) {
    const auto found = table.find(prefix);
    if (found != table.end()) {
      if (auto route = matchMethod(found->second, method)) return route;
    }
    if (prefix.empty()) return nullptr;
  }
}

RoutePointer Router::find(std::string_view host, std::string_view target, std::string_view method) const {
  const auto path = pathOf(target);
  const auto exact = hosts_.find(boost::algorithm::to_lower_copy(std::string(host)));
  if (!host.empty() && exact != hosts_.end()) {
    if (auto route = findInTable(exact->second, path, method)) return route;
  }
  const auto any = hosts_.find(std::string_view{});
  return any == hosts_.end() ? nullptr : findInTable(any->second, path, method);
}

unsigned Router::maxInFlight(const std::string& tenant) const {
  const auto found = tenant_limits_.find(tenant);
  return found == tenant_limits_.end() ? 0 : found->second;
}

}  // namespace cometstand::proxy

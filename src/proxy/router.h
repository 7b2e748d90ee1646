#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "proxy/identifiers.h"
#include "schema/objects_generated.h"

namespace cometstand::proxy {

using ObjectPointer = std::shared_ptr<const wire::ObjectT>;

/// A route with everything that is needed to serve a request by it.
struct ResolvedRoute {
  std::string name;
  ServiceKey service;
  std::string host;
  std::string path_prefix;
  /// Empty matches any method.
  std::string method;
  /// Bearer token for the back end; empty for none.
  std::string secret;
  wire::RequestClass request_class = wire::RequestClass::Interactive;
  Duration timeout = Duration::zero();
  bool repeatable = false;
  unsigned max_retries = 0;
};

using RoutePointer = std::shared_ptr<const ResolvedRoute>;

/// Index over the routes of one view. Immutable: a new view gets a new Router, and requests in work keep the
/// route that they began with.
class Router {
 public:
  Router() = default;

  /// @param objects the view's objects; kinds other than Route, Service, Secret and Tenant are ignored. A
  /// route whose service or secret is not among them is left out: a view never holds such a route, and if
  /// one came about by a fault, no request may follow it.
  explicit Router(const std::vector<ObjectPointer>& objects);

  /// Matches the exact host before routes for any host, then the longest path prefix, then the exact method
  /// before any method. A prefix matches whole path segments: "/cue" matches "/cue/1" but not "/cues".
  /// @param host without port, any case. @param target path with or without query.
  /// @return nullptr if no route matches.
  RoutePointer find(std::string_view host, std::string_view target, std::string_view method) const;

  /// @return requests that the tenant may have in flight at this proxy; 0 means the proxy's default.
  unsigned maxInFlight(const std::string& tenant) const;

  /// @return configured endpoints of each service.
  const std::map<ServiceKey, std::shared_ptr<const wire::ServiceSpecT>>& services() const {
    return services_;
  }

  std::size_t routeCount() const { return route_count_; }

 private:
  /// Routes of one host by path prefix; those of one prefix with the exact method first.
  using PrefixTable = std::map<std::string, std::vector<RoutePointer>, std::less<>>;

  void addRoute(const wire::ObjectKeyT& key, const wire::RouteSpecT& spec,
                const std::map<ServiceKey, std::string>& secrets);
  static RoutePointer findInTable(const PrefixTable& table, std::string_view path, std::string_view method);

  std::map<std::string, PrefixTable, std::less<>> hosts_;
  std::map<ServiceKey, std::shared_ptr<const wire::ServiceSpecT>> services_;
  std::map<std::string, unsigned> tenant_limits_;
  std::size_t route_count_ = 0;
};

}  // namespace cometstand::proxy

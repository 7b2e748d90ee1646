#include "store/queries.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <tuple>

#include "base/error.h"
#include "config/object_key.h"
#include "proxy/router.h"

namespace cometstand::store {
namespace {

using Rows = std::vector<std::vector<std::string>>;

/// Calls the action with the key and the catalog entry of each object of one kind. Skips deleted objects.
template <typename Action>
void forEachObject(const StateMachine& state, wire::ObjectKind kind, Action action) {
  const auto& entries = state.catalog().entries();
  for (auto entry = entries.lower_bound(config::makeKey(kind, "", "")); entry != entries.end(); ++entry) {
    if (entry->first.kind != kind) return;
    if (entry->second.object != nullptr) action(entry->first, entry->second);
  }
}

std::string requestClassName(wire::RequestClass request_class) {
  std::string name = wire::EnumNameRequestClass(request_class);
  std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
  return name;
}

std::string endpointStateName(wire::EndpointState state) {
  std::string name = wire::EnumNameEndpointState(state);
  std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
  return name;
}

std::string orAny(const std::string& text) { return text.empty() ? "any" : text; }

bool isNewer(const wire::EndpointRecordT& left, const wire::EndpointRecordT& right) {
  return std::tie(left.incarnation, left.sequence, left.state) >
         std::tie(right.incarnation, right.sequence, right.state);
}

}  // namespace

bool Scope::canSeeNode(const wire::NodeSpecT& node) const {
  return administrator || std::find(node.tenants.begin(), node.tenants.end(), tenant) != node.tenants.end();
}

wire::CommandReplyT makeTable(std::uint64_t version, std::vector<std::string> columns, const Rows& rows) {
  wire::CommandReplyT reply;
  reply.version = version;
  reply.columns = std::move(columns);
  for (const auto& cells : rows) {
    auto row = std::make_shared<wire::RowT>();
    row->cells = cells;
    reply.rows.push_back(std::move(row));
  }
  return reply;
}

wire::CommandReplyT showVersion(const StateMachine& state) {
  const auto version = state.catalog().version();
  return makeTable(version, {"version"}, {{std::to_string(version)}});
}

wire::CommandReplyT showRoute(const StateMachine& state, const Scope& scope,
                              const command::ShowRoute& query) {
  std::vector<proxy::ObjectPointer> objects;
  std::set<std::string> methods{""};
  for (const auto& [key, entry] : state.catalog().entries()) {
    if (entry.object == nullptr || !scope.canSee(key.tenant)) continue;
    objects.push_back(entry.object);
    if (const auto* route = entry.object->spec.AsRouteSpec()) methods.insert(route->method);
  }
  const proxy::Router router(objects);
  Rows rows;
  for (const auto& method : methods) {
    const auto route = router.find(query.host, query.path, method);
    // A route for any method is listed only once, under the empty method.
    if (route == nullptr || route->method != method) continue;
    rows.push_back({route->service.tenant, route->name, orAny(route->host), route->path_prefix,
                    orAny(route->method), route->service.service});
  }
  return makeTable(state.catalog().version(), {"tenant", "route", "host", "path", "method", "service"}, rows);
}

wire::CommandReplyT showRoutes(const StateMachine& state, const Scope& scope) {
  Rows rows;
  forEachObject(state, wire::ObjectKind::Route, [&](const auto& key, const auto& entry) {
    if (!scope.canSee(key.tenant)) return;
    const auto& route = *entry.object->spec.AsRouteSpec();
    rows.push_back({key.tenant, key.name, orAny(route.host), route.path_prefix, orAny(route.method),
                    route.service, route.secret, requestClassName(route.request_class),
                    fmt::format("{}ms", route.timeout_ms), route.repeatable ? "yes" : "no",
                    std::to_string(route.max_retries), std::to_string(entry.version)});
  });
  return makeTable(state.catalog().version(),
                   {"tenant", "route", "host", "path", "method", "service", "secret", "class", "timeout",
                    "repeatable", "retries", "changed_at"},
                   rows);
}

wire::CommandReplyT showServices(const StateMachine& state, const Scope& scope) {
  Rows rows;
  forEachObject(state, wire::ObjectKind::Service, [&](const auto& key, const auto& entry) {
    if (!scope.canSee(key.tenant)) return;
    const auto& service = *entry.object->spec.AsServiceSpec();
    rows.push_back(
        {key.tenant, key.name, std::to_string(service.endpoints.size()), std::to_string(entry.version)});
  });
  return makeTable(state.catalog().version(), {"tenant", "service", "endpoints", "changed_at"}, rows);
}

wire::CommandReplyT showNodes(const StateMachine& state, const Scope& scope) {
  Rows rows;
  forEachObject(state, wire::ObjectKind::Node, [&](const auto& key, const auto& entry) {
    const auto& node = *entry.object->spec.AsNodeSpec();
    if (!scope.canSeeNode(node)) return;
    const std::string tenants =
        scope.administrator ? fmt::format("{}", fmt::join(node.tenants, ",")) : scope.tenant;
    rows.push_back({key.name, node.zone, tenants, std::to_string(entry.version)});
  });
  return makeTable(state.catalog().version(), {"node", "zone", "tenants", "changed_at"}, rows);
}

wire::CommandReplyT showTenants(const StateMachine& state, const Scope& scope) {
  Rows rows;
  forEachObject(state, wire::ObjectKind::Tenant, [&](const auto& key, const auto& entry) {
    if (!scope.canSee(key.tenant)) return;
    rows.push_back({key.tenant, std::to_string(entry.object->spec.AsTenantSpec()->max_in_flight),
                    std::to_string(entry.version)});
  });
  return makeTable(state.catalog().version(), {"tenant", "max_in_flight", "changed_at"}, rows);
}

wire::CommandReplyT showSecrets(const StateMachine& state, const Scope& scope) {
  Rows rows;
  forEachObject(state, wire::ObjectKind::Secret, [&](const auto& key, const auto& entry) {
    if (scope.canSee(key.tenant)) rows.push_back({key.tenant, key.name, std::to_string(entry.version)});
  });
  return makeTable(state.catalog().version(), {"tenant", "secret", "changed_at"}, rows);
}

wire::CommandReplyT showQuarantine(const StateMachine& state) {
  Rows rows;
  for (const auto& [digest, record] : state.quarantine().all()) {
    rows.push_back({mesh::formatDigest(digest), wire::EnumNameContentState(record->state), record->service,
                    record->caller_service, std::to_string(record->crashes),
                    std::to_string(record->quarantines),
                    fmt::format("{}", fmt::join(record->instances, ", "))});
  }
  return makeTable(state.catalog().version(),
                   {"content", "state", "service", "caller", "crashes", "quarantines", "instances"}, rows);
}

wire::CommandReplyT showChanges(const StateMachine& state, const Scope& scope,
                                const command::ShowChanges& query) {
  Rows rows;
  const auto& history = state.history();
  for (auto change = history.rbegin(); change != history.rend() && rows.size() < query.last; ++change) {
    std::vector<std::string> objects;
    for (const auto& key : (*change)->keys) {
      if (scope.canSee(key->tenant)) objects.push_back(config::formatKey(*key));
    }
    if (objects.empty() && !scope.canSee((*change)->tenant)) continue;
    const bool is_visible = scope.canSee((*change)->tenant);
    rows.push_back({std::to_string((*change)->version), is_visible ? (*change)->tenant : "",
                    is_visible ? (*change)->operator_name : "",
                    is_visible ? std::to_string((*change)->key_count) : "",
                    fmt::format("{}", fmt::join(objects, ", "))});
  }
  return makeTable(state.catalog().version(), {"version", "tenant", "operator", "objects", "names"}, rows);
}

wire::CommandReplyT showProxies(const StateMachine& state, const Scope& scope,
                                const command::ShowProxies& query, const wire::StatusReplyT& status) {
  // Two relays may report a proxy that changed its relay; the report with the higher version is used.
  std::map<std::string, wire::ProxyStatusT> reported;
  for (const auto& proxy : status.proxies) {
    const auto [found, added] = reported.emplace(proxy->node, *proxy);
    if (!added && found->second.as_of < proxy->as_of) found->second = *proxy;
  }
  Rows rows;
  forEachObject(state, wire::ObjectKind::Node, [&](const auto& key, const auto& entry) {
    const auto& node = *entry.object->spec.AsNodeSpec();
    if (!scope.canSeeNode(node)) return;
    wire::ProxyStatusT proxy;
    proxy.node = key.name;
    proxy.zone = node.zone;
    const auto found = reported.find(key.name);
    if (found != reported.end()) proxy = found->second;
    if (!command::matches(query, proxy)) return;
    rows.push_back({proxy.node, proxy.zone, proxy.relay, std::to_string(proxy.as_of),
                    std::to_string(proxy.view_version), found == reported.end() ? "silent" : "reporting"});
  });
  return makeTable(state.catalog().version(), {"node", "zone", "relay", "version", "view_version", "state"},
                   rows);
}

wire::CommandReplyT showEndpoints(const StateMachine& state, const Scope& scope,
                                  const command::ShowEndpoints& query, const wire::StatusReplyT& status) {
  const std::string tenant = query.service.tenant.empty() ? scope.tenant : query.service.tenant;
  const auto key = config::makeKey(wire::ObjectKind::Service, tenant, query.service.name);
  const auto object = scope.canSee(tenant) ? state.catalog().find(key) : nullptr;
  if (object == nullptr) {
    throw Error(ErrorKind::NotFound, fmt::format("{} does not exist", config::formatKey(key)),
                "check the name");
  }
  std::map<std::string, std::shared_ptr<wire::EndpointRecordT>> newest_records;
  for (const auto& record : status.endpoints) {
    if (record->tenant != tenant || record->service != query.service.name) continue;
    auto& newest_record = newest_records[record->endpoint];
    if (newest_record == nullptr || isNewer(*record, *newest_record)) newest_record = record;
  }
  Rows rows;
  for (const auto& endpoint : object->spec.AsServiceSpec()->endpoints) {
    const auto found = newest_records.find(endpoint->name);
    rows.push_back({endpoint->name, fmt::format("{}:{}", endpoint->address, endpoint->port), endpoint->zone,
                    found == newest_records.end() ? "unreported" : endpointStateName(found->second->state),
                    std::to_string(endpoint->slots), std::to_string(endpoint->max_connections)});
  }
  return makeTable(state.catalog().version(),
                   {"endpoint", "address", "zone", "state", "slots", "connections"}, rows);
}

}  // namespace cometstand::store

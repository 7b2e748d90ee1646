#pragma once

#include <fmt/format.h>

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "proxy/router.h"

/// Configuration objects for benchmarks and tests of the proxy.
namespace cometstand::rehearsal {

inline std::shared_ptr<wire::ObjectT> makeObject(wire::ObjectKind kind, const std::string& tenant,
                                                 const std::string& name) {
  auto object = std::make_shared<wire::ObjectT>();
  object->key = std::make_shared<wire::ObjectKeyT>();
  object->key->kind = kind;
  object->key->tenant = tenant;
  object->key->name = name;
  return object;
}

/// @return a service of endpoints e0, e1, ... on 127.0.0.1 from port 9000 on.
inline proxy::ObjectPointer makeService(const std::string& name, unsigned endpoints, unsigned slots = 6,
                                        const std::string& tenant = "t", const std::string& zone = "a") {
  wire::ServiceSpecT spec;
  for (unsigned index = 0; index < endpoints; ++index) {
    auto endpoint = std::make_shared<wire::EndpointSpecT>();
    endpoint->name = fmt::format("e{}", index);
    endpoint->address = "127.0.0.1";
    endpoint->port = static_cast<std::uint16_t>(9000 + index);
    endpoint->zone = zone;
    endpoint->slots = slots;
    spec.endpoints.push_back(std::move(endpoint));
  }
  auto object = makeObject(wire::ObjectKind::Service, tenant, name);
  object->spec.Set(std::move(spec));
  return object;
}

using RouteEdit = std::function<void(wire::RouteSpecT&)>;

/// @return a route to the service of the same name, for every path below "/name".
inline proxy::ObjectPointer makeRoute(const std::string& name, const RouteEdit& edit = {},
                                      const std::string& tenant = "t") {
  wire::RouteSpecT spec;
  spec.path_prefix = "/" + name;
  spec.service = name;
  if (edit) edit(spec);
  auto object = makeObject(wire::ObjectKind::Route, tenant, name);
  object->spec.Set(std::move(spec));
  return object;
}

inline proxy::ObjectPointer makeSecret(const std::string& name, const std::string& value) {
  wire::SecretSpecT spec;
  spec.value.assign(value.begin(), value.end());
  auto object = makeObject(wire::ObjectKind::Secret, "t", name);
  object->spec.Set(std::move(spec));
  return object;
}

inline wire::EndpointRecordT makeRecord(const std::string& service, const std::string& endpoint,
                                        wire::EndpointState state, std::uint64_t sequence,
                                        std::uint64_t incarnation = 1) {
  wire::EndpointRecordT record;
  record.tenant = "t";
  record.service = service;
  record.endpoint = endpoint;
  record.incarnation = incarnation;
  record.sequence = sequence;
  record.state = state;
  record.zone = "a";
  return record;
}

}  // namespace cometstand::rehearsal

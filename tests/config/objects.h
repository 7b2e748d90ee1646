#pragma once

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "config/object_key.h"
#include "schema/objects_generated.h"

namespace cometstand::config::test {

using wire::ObjectKind;
using OperationPointer = std::shared_ptr<wire::OperationT>;

/// @return a put of an object with the given key and content.
template <typename Spec>
OperationPointer put(ObjectKind kind, std::string tenant, std::string name, Spec spec) {
  auto operation = std::make_shared<wire::OperationT>();
  operation->key = std::make_shared<wire::ObjectKeyT>(makeKey(kind, std::move(tenant), std::move(name)));
  operation->object = std::make_shared<wire::ObjectT>();
  operation->object->key = operation->key;
  operation->object->spec.Set(std::move(spec));
  return operation;
}

inline OperationPointer drop(ObjectKind kind, std::string tenant, std::string name) {
  auto operation = std::make_shared<wire::OperationT>();
  operation->key = std::make_shared<wire::ObjectKeyT>(makeKey(kind, std::move(tenant), std::move(name)));
  return operation;
}

inline OperationPointer putTenant(const std::string& tenant) {
  return put(ObjectKind::Tenant, tenant, "", wire::TenantSpecT{});
}

inline wire::EndpointSpecT endpoint(const std::string& name, std::uint16_t port) {
  wire::EndpointSpecT spec;
  spec.name = name;
  spec.address = "127.0.0.1";
  spec.port = port;
  spec.zone = "krk-a";
  return spec;
}

inline OperationPointer putService(const std::string& tenant, const std::string& name,
                                   const std::vector<wire::EndpointSpecT>& endpoints = {
                                       endpoint("e1", 9001)}) {
  wire::ServiceSpecT spec;
  for (const auto& one : endpoints) spec.endpoints.push_back(std::make_shared<wire::EndpointSpecT>(one));
  return put(ObjectKind::Service, tenant, name, std::move(spec));
}

inline wire::RouteSpecT route(const std::string& host, const std::string& service,
                              const std::string& secret = "") {
  wire::RouteSpecT spec;
  spec.host = host;
  spec.path_prefix = "/";
  spec.service = service;
  spec.secret = secret;
  return spec;
}

inline OperationPointer putRoute(const std::string& tenant, const std::string& name, wire::RouteSpecT spec) {
  return put(ObjectKind::Route, tenant, name, std::move(spec));
}

inline OperationPointer putSecret(const std::string& tenant, const std::string& name,
                                  const std::string& value) {
  wire::SecretSpecT spec;
  spec.value.assign(value.begin(), value.end());
  return put(ObjectKind::Secret, tenant, name, std::move(spec));
}

inline OperationPointer putNode(const std::string& name, const std::vector<std::string>& tenants) {
  wire::NodeSpecT spec;
  spec.zone = "krk-a";
  spec.tenants = tenants;
  return put(ObjectKind::Node, "", name, std::move(spec));
}

inline wire::TransactionT transaction(std::vector<OperationPointer> operations,
                                      std::uint64_t if_version = 0) {
  wire::TransactionT result;
  result.if_version = if_version;
  result.operations = std::move(operations);
  return result;
}

}  // namespace cometstand::config::test

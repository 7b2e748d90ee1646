#include "rehearsal/relay_cost/mesh_configuration.h"

#include <fmt/format.h>

#include <algorithm>

namespace cometstand::rehearsal {
namespace {

constexpr const char* kFirstService = "service-0";
constexpr unsigned kZones = 22;

template <typename Spec>
std::shared_ptr<wire::ObjectChangeT> makeChange(wire::ObjectKind kind, const std::string& tenant,
                                                const std::string& name, std::uint64_t version, Spec spec) {
  auto change = std::make_shared<wire::ObjectChangeT>();
  change->key = std::make_shared<wire::ObjectKeyT>();
  change->key->kind = kind;
  change->key->tenant = tenant;
  change->key->name = name;
  change->version = version;
  change->object = std::make_shared<wire::ObjectT>();
  change->object->key = change->key;
  change->object->spec.Set(std::move(spec));
  return change;
}

std::string ordinaryTenant(unsigned index) { return fmt::format("tenant-{}", index); }

}  // namespace

MeshConfiguration::MeshConfiguration(const MeshSize& size, std::vector<unsigned> held)
    : size_(size), held_(std::move(held)) {}

std::string MeshConfiguration::zoneName(unsigned index) { return fmt::format("zone-{}", index % kZones); }

std::string MeshConfiguration::nodeName(unsigned index) { return fmt::format("node-{}", index); }

std::string MeshConfiguration::heldTenant(unsigned holders) { return fmt::format("held-{}", holders); }

wire::ServiceSpecT MeshConfiguration::service(std::uint64_t version) const {
  wire::ServiceSpecT spec;
  for (unsigned i = 0; i < size_.endpoints_per_service; ++i) {
    auto endpoint = std::make_shared<wire::EndpointSpecT>();
    endpoint->name = fmt::format("endpoint-{}", i);
    endpoint->address = fmt::format("10.{}.{}.{}", version % 250, i % 250, 1);
    endpoint->port = 8080;
    endpoint->zone = zoneName(i + static_cast<unsigned>(version));
    spec.endpoints.push_back(std::move(endpoint));
  }
  return spec;
}

std::vector<std::string> MeshConfiguration::tenantsOf(unsigned node) const {
  std::vector<std::string> tenants;
  const unsigned first = node / size_.nodes_per_tenant_set * size_.tenants_per_node;
  for (unsigned i = 0; i < size_.tenants_per_node; ++i) {
    tenants.push_back(ordinaryTenant((first + i) % size_.tenants));
  }
  for (const unsigned holders : held_) {
    if (node < holders) tenants.push_back(heldTenant(holders));
  }
  return tenants;
}

Changes MeshConfiguration::objects() const {
  Changes changes;
  const auto add_tenant = [&](const std::string& tenant, unsigned services) {
    changes.push_back(makeChange(wire::ObjectKind::Tenant, tenant, "", 1, wire::TenantSpecT()));
    for (unsigned i = 0; i < services; ++i) {
      const auto name = fmt::format("service-{}", i);
      changes.push_back(makeChange(wire::ObjectKind::Service, tenant, name, 1, service(1)));
      wire::RouteSpecT route;
      route.host = fmt::format("{}.{}.example", name, tenant);
      route.path_prefix = "/";
      route.service = name;
      changes.push_back(makeChange(wire::ObjectKind::Route, tenant, name, 1, std::move(route)));
    }
  };
  for (unsigned i = 0; i < size_.tenants; ++i) {
    add_tenant(ordinaryTenant(i), size_.services / size_.tenants);
  }
  for (const unsigned holders : held_) add_tenant(heldTenant(holders), 1);
  for (unsigned i = 0; i < size_.proxies; ++i) {
    wire::NodeSpecT node;
    node.zone = zoneName(0);
    node.tenants = tenantsOf(i);
    changes.push_back(makeChange(wire::ObjectKind::Node, "", nodeName(i), 1, std::move(node)));
  }
  return changes;
}

std::shared_ptr<wire::ObjectChangeT> MeshConfiguration::serviceChange(const std::string& tenant,
                                                                      std::uint64_t version) const {
  return makeChange(wire::ObjectKind::Service, tenant, kFirstService, version, service(version));
}

}  // namespace cometstand::rehearsal

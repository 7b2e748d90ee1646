#include "rehearsal/scale/catalog_plan.h"

#include <fmt/format.h>

#include <algorithm>

namespace cometstand::rehearsal {

namespace {

/// The platform's tenant; every node serves it.
constexpr std::size_t kPlatform = 0;

/// One service in so many is the platform's.
constexpr std::size_t kServicesPerPlatformService = 80;

/// One change in so many is the platform's and goes to every proxy.
constexpr std::size_t kChangesPerPlatformChange = 25;

constexpr std::size_t kNodesPerCommand = 500;
constexpr std::size_t kTenantsPerCommand = 500;

constexpr std::size_t kDefaultSlots = 6;
constexpr std::size_t kDefaultTimeoutMs = 2000;

/// Of a hundred changes so many are of routes and of secrets; the others are of services.
constexpr std::uint64_t kRoutePercent = 70;
constexpr std::uint64_t kSecretPercent = 20;

std::string changeOf(const std::string& steps) { return "change { " + steps + "}"; }

}  // namespace

std::string nodeName(std::size_t index) { return fmt::format("node-{:05}", index); }

std::string zoneName(std::size_t index) { return fmt::format("zone-{:02}", index); }

CatalogPlan::CatalogPlan(const CatalogShape& shape, std::vector<std::uint16_t> backend_ports)
    : shape_(shape), backend_ports_(std::move(backend_ports)), services_of_tenant_(shape.tenants) {
  for (std::size_t service = 0; service < shape_.services; ++service) {
    services_of_tenant_[tenantOfService(service)].push_back(service);
  }
}

std::size_t CatalogPlan::platformServices() const {
  return std::max<std::size_t>(1, shape_.services / kServicesPerPlatformService);
}

std::size_t CatalogPlan::tenantOfService(std::size_t service) const {
  if (service < platformServices() || shape_.tenants == 1) return kPlatform;
  return 1 + (service % (shape_.tenants - 1));
}

std::vector<std::size_t> CatalogPlan::tenantsOfNode(std::size_t node) const {
  const std::size_t own = tenantOfService(node % shape_.services);
  std::vector<std::size_t> tenants{kPlatform};
  const auto wanted = std::min(shape_.tenants_per_node, shape_.tenants);
  for (std::size_t next = std::max<std::size_t>(own, 1); tenants.size() < wanted; ++next) {
    tenants.push_back(1 + ((next - 1) % (shape_.tenants - 1)));
  }
  return tenants;
}

std::size_t CatalogPlan::fanOut(std::size_t tenant) const {
  std::size_t count = 0;
  for (std::size_t node = 0; node < shape_.proxies; ++node) {
    const auto tenants = tenantsOfNode(node);
    count += std::find(tenants.begin(), tenants.end(), tenant) == tenants.end() ? 0 : 1;
  }
  return count;
}

std::string CatalogPlan::tenantName(std::size_t tenant) const {
  return tenant == kPlatform ? "platform" : fmt::format("tenant-{:03}", tenant);
}

std::string CatalogPlan::putService(std::size_t service, std::size_t slots) const {
  std::string endpoints;
  const std::size_t per_port = (shape_.proxies + backend_ports_.size() - 1) / backend_ports_.size();
  for (std::size_t target = service; target < shape_.proxies; target += shape_.services) {
    endpoints += fmt::format("endpoint {} at 127.0.0.1:{} zone {} slots {}; ", nodeName(target),
                             backend_ports_[target / per_port], zoneName(target % shape_.zones), slots);
  }
  return fmt::format("put service {}/service-{:04} {{ {}}}; ", tenantName(tenantOfService(service)), service,
                     endpoints);
}

std::string CatalogPlan::putRoute(std::size_t service, std::size_t timeout_ms) const {
  return fmt::format(
      "put route {0}/route-{1:04} host {0}.example path /service-{1:04} to service-{1:04} secret key timeout "
      "{2}ms "
      "repeatable; ",
      tenantName(tenantOfService(service)), service, timeout_ms);
}

std::string CatalogPlan::putSecret(std::size_t tenant, std::uint64_t value) const {
  return fmt::format("put secret {}/key value \"{:032x}\"; ", tenantName(tenant), value);
}

std::string CatalogPlan::putNode(std::size_t node) const {
  std::string tenants;
  for (const auto tenant : tenantsOfNode(node)) {
    tenants += (tenants.empty() ? "" : ", ") + tenantName(tenant);
  }
  return fmt::format("put node {} zone {} tenants ({}); ", nodeName(node), zoneName(node % shape_.zones),
                     tenants);
}

std::vector<std::string> CatalogPlan::creation() const {
  std::vector<std::string> commands;
  for (std::size_t first = 0; first < shape_.tenants; first += kTenantsPerCommand) {
    std::string steps;
    for (std::size_t i = first; i < std::min(first + kTenantsPerCommand, shape_.tenants); ++i) {
      steps += fmt::format("put tenant {}; ", tenantName(i));
    }
    commands.push_back(changeOf(steps));
  }
  for (std::size_t tenant = 0; tenant < shape_.tenants; ++tenant) {
    std::string steps = putSecret(tenant, tenant);
    for (const auto service : services_of_tenant_[tenant]) {
      steps += putService(service, kDefaultSlots) + putRoute(service, kDefaultTimeoutMs);
    }
    commands.push_back(changeOf(steps));
  }
  for (std::size_t first = 0; first < shape_.proxies; first += kNodesPerCommand) {
    std::string steps;
    for (std::size_t i = first; i < std::min(first + kNodesPerCommand, shape_.proxies); ++i)
      steps += putNode(i);
    commands.push_back(changeOf(steps));
  }
  return commands;
}

PlannedChange CatalogPlan::change(std::size_t number, RandomSource& random) const {
  const bool is_platform = number % kChangesPerPlatformChange == kChangesPerPlatformChange - 1;
  const std::size_t tenant =
      is_platform || shape_.tenants == 1 ? kPlatform : random.uniform(1, shape_.tenants - 1);
  const auto& services = services_of_tenant_[tenant];
  // A tenant without services has its secret to change.
  const std::uint64_t percent = services.empty() ? kRoutePercent : random.uniform(0, 99);
  PlannedChange change;
  change.tenant = tenantName(tenant);
  change.fan_out = fanOut(tenant);
  // Every change differs from all before it, so that it is one for each interested proxy.
  if (percent >= kRoutePercent && percent < kRoutePercent + kSecretPercent) {
    change.kind = ChangeKind::Secret;
    change.text = changeOf(putSecret(tenant, random.uniform(1U << 30U, 1ULL << 62U)));
  } else if (percent < kRoutePercent) {
    change.kind = ChangeKind::Route;
    const auto service = services[random.uniform(0, services.size() - 1)];
    change.text = changeOf(putRoute(service, kDefaultTimeoutMs + 1 + number));
  } else {
    change.kind = ChangeKind::Service;
    const auto service = services[random.uniform(0, services.size() - 1)];
    change.text = changeOf(putService(service, kDefaultSlots + 1 + (number % 100)));
  }
  return change;
}

}  // namespace cometstand::rehearsal

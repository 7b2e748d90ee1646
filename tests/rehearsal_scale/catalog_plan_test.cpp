#include "rehearsal/scale/catalog_plan.h"

#include <catch2/catch.hpp>
#include <numeric>
#include <variant>

#include "config/catalog.h"
#include "config/transaction_check.h"
#include "operator/command.h"

namespace cometstand::rehearsal {
namespace {

std::uint64_t apply(config::Catalog& catalog, const std::string& text) {
  const auto change = std::get<command::Change>(command::parseCommand(text));
  const auto transaction = command::toTransaction(change, "mesh");
  config::checkTransaction(catalog, {"mesh", true}, transaction);
  return catalog.apply(transaction);
}

std::size_t countKind(const config::Catalog& catalog, wire::ObjectKind kind) {
  std::size_t count = 0;
  for (const auto& [key, entry] : catalog.entries()) count += key.kind == kind ? 1 : 0;
  return count;
}

TEST_CASE("The planned configuration and its changes pass the store's checks", "[scale]") {
  const CatalogShape shape{1100, 160, 22, 40, 3};
  std::vector<std::uint16_t> ports(110);
  std::iota(ports.begin(), ports.end(), std::uint16_t{9000});
  const CatalogPlan plan(shape, ports);
  config::Catalog catalog;
  for (const auto& command : plan.creation()) apply(catalog, command);

  CHECK(countKind(catalog, wire::ObjectKind::Tenant) == shape.tenants);
  CHECK(countKind(catalog, wire::ObjectKind::Service) == shape.services);
  CHECK(countKind(catalog, wire::ObjectKind::Route) == shape.services);
  CHECK(countKind(catalog, wire::ObjectKind::Node) == shape.proxies);
  RandomSource random(5);
  for (std::size_t i = 0; i < 60; ++i) {
    const auto before = catalog.version();
    const auto change = plan.change(i, random);
    CHECK(apply(catalog, change.text) == before + 1);
  }
}

TEST_CASE("The platform's changes concern every proxy, a tenant's only its own", "[scale]") {
  const CatalogShape shape{1000, 160, 4, 40, 3};
  const CatalogPlan plan(shape, {9001});
  CHECK(plan.fanOut(0) == shape.proxies);
  std::size_t sum = 0;
  for (std::size_t tenant = 1; tenant < shape.tenants; ++tenant) {
    CHECK(plan.fanOut(tenant) < shape.proxies / 5);
    sum += plan.fanOut(tenant);
  }
  CHECK(sum == shape.proxies * (shape.tenants_per_node - 1));
}

}  // namespace
}  // namespace cometstand::rehearsal

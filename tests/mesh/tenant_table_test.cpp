// Tenants and their keys in a configuration.
#include "mesh/tenant_table.h"

#include <catch2/catch.hpp>

#include "base/error.h"
#include "mesh/configuration.h"

namespace cometstand::mesh {
namespace {

std::shared_ptr<wire::MeshTenantT> makeTenant(const std::string& name, const std::vector<std::string>& keys) {
  auto tenant = std::make_shared<wire::MeshTenantT>();
  tenant->name = name;
  for (const auto& key : keys) tenant->key_digests.push_back(*writeDigest(digestOfKey(key)));
  return tenant;
}

wire::MeshConfigurationT makeConfiguration() {
  wire::MeshConfigurationT configuration;
  configuration.requires_key = true;
  configuration.tenants = {makeTenant("first", {"k1", "k2"}), makeTenant("second", {"k3"}),
                           makeTenant("keyless", {})};
  return configuration;
}

}  // namespace

TEST_CASE("a key names its tenant, and no other key does", "[tenant]") {
  const auto bytes = encodeConfiguration(makeConfiguration());
  const TenantTable tenants(decodeConfiguration(bytes));
  CHECK(tenants.requiresKey());
  CHECK(tenants.findByKey(digestOfKey("k1"))->name == "first");
  CHECK(tenants.findByKey(digestOfKey("k2"))->name == "first");
  CHECK(tenants.findByKey(digestOfKey("k3"))->name == "second");
  for (const char* key : {"", "k", "K1", "k1 ", "first", "keyless"})
    CHECK(tenants.findByKey(digestOfKey(key)) == nullptr);
  CHECK_FALSE(TenantTable(wire::MeshConfigurationT()).requiresKey());
}

TEST_CASE("the digest of a key is the beginning of its SHA-256", "[tenant]") {
  // FIPS 180-2, appendix B.1: "abc" gives ba7816bf 8f01cfea 414140de 5dae2223 and so on.
  const auto digest = digestOfKey("abc");
  CHECK(digest.high == __builtin_bswap64(0xba7816bf8f01cfeaU));
  CHECK(digest.low == __builtin_bswap64(0x414140de5dae2223U));
}

TEST_CASE("tenants that share a key or a name, or have a limit below zero, are refused", "[tenant]") {
  auto configuration = makeConfiguration();
  checkConfiguration(configuration);
  SECTION("a key") { configuration.tenants.push_back(makeTenant("third", {"k4", "k2"})); }
  SECTION("a name") { configuration.tenants.push_back(makeTenant("first", {"k4"})); }
  SECTION("no name") { configuration.tenants.push_back(makeTenant("", {"k4"})); }
  SECTION("a rate") { configuration.tenants.front()->requests_per_second = -1; }
  SECTION("a burst") { configuration.tenants.front()->burst = -0.5; }
  try {
    checkConfiguration(configuration);
    FAIL("it was taken");
  } catch (const Error& error) {
    CHECK(error.kind() == ErrorKind::Invalid);
    CHECK_FALSE(error.remedy().empty());
  }
}

TEST_CASE("one tenant may name a key twice", "[tenant]") {
  auto configuration = makeConfiguration();
  configuration.tenants.push_back(makeTenant("third", {"k4", "k4"}));
  checkConfiguration(configuration);
}

TEST_CASE("a tenant's priority goes before the route's, and a call of a target before both", "[tenant]") {
  wire::MeshTenantT urgent;
  urgent.priority = 0;
  wire::MeshTenantT patient;
  patient.priority = 1;
  CHECK(combinedPriority(nullptr, 5) < combinedPriority(&urgent, 0));
  CHECK(combinedPriority(&urgent, 0) < combinedPriority(&urgent, 1));
  CHECK(combinedPriority(&urgent, 100'000) < combinedPriority(&patient, 0));
  wire::MeshTenantT last;
  last.priority = UINT32_MAX;
  CHECK(combinedPriority(&patient, 9) < combinedPriority(&last, 0));
}

}  // namespace cometstand::mesh

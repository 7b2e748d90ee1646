#include "config/transaction_check.h"

#include <catch2/catch.hpp>

#include "base/error.h"
#include "config/limits.h"
#include "config/objects.h"

namespace cometstand::config {
namespace {

using namespace test;  // NOLINT(google-build-using-namespace): builders of this folder

const Actor kAdministrator{"mesh", true};
const Actor kKrakow{"krakow", false};

/// A catalog with the tenants krakow and astana; krakow has a service, a secret and a route with both.
Catalog sampleCatalog() {
  Catalog catalog;
  catalog.apply(transaction({putTenant("krakow"), putTenant("astana"), putService("krakow", "desk"),
                             putSecret("krakow", "key", "s3cret"),
                             putRoute("krakow", "edit", route("desk.example", "desk", "key"))}));
  catalog.apply(transaction({putNode("node-1", {"krakow"})}));
  return catalog;
}

ErrorKind refusal(const Catalog& catalog, const Actor& actor, const wire::TransactionT& change) {
  try {
    checkTransaction(catalog, actor, change);
  } catch (const Error& error) {
    CHECK_FALSE(error.message().empty());
    CHECK_FALSE(error.remedy().empty());
    return error.kind();
  }
  return ErrorKind::None;
}

ErrorKind refusal(const Actor& actor, const OperationPointer& operation) {
  return refusal(sampleCatalog(), actor, transaction({operation}));
}

TEST_CASE("good changes pass", "[transaction_check]") {
  CHECK(refusal(kKrakow, putService("krakow", "vault")) == ErrorKind::None);
  CHECK(refusal(kKrakow, putRoute("krakow", "r", route("other.example", "desk"))) == ErrorKind::None);
  CHECK(refusal(kAdministrator, putNode("node-2", {"astana", "krakow"})) == ErrorKind::None);
  CHECK(refusal(kKrakow, drop(ObjectKind::Route, "krakow", "edit")) == ErrorKind::None);
}

TEST_CASE("fields out of range are refused", "[transaction_check]") {
  auto bad_route = [](auto change) {
    auto spec = route("a.example", "desk");
    change(spec);
    return refusal(kKrakow, putRoute("krakow", "r", spec));
  };
  CHECK(bad_route([](auto& spec) { spec.host = "a b"; }) == ErrorKind::Invalid);
  CHECK(bad_route([](auto& spec) { spec.host = "a.example."; }) == ErrorKind::Invalid);
  CHECK(bad_route([](auto& spec) { spec.path_prefix = "x"; }) == ErrorKind::Invalid);
  CHECK(bad_route([](auto& spec) { spec.path_prefix = "/a\r\nb"; }) == ErrorKind::Invalid);
  CHECK(bad_route([](auto& spec) { spec.method = "get"; }) == ErrorKind::Invalid);
  CHECK(bad_route([](auto& spec) { spec.timeout_ms = 0; }) == ErrorKind::Invalid);
  CHECK(bad_route([](auto& spec) { spec.max_retries = kMaxRetries + 1; }) == ErrorKind::Invalid);

  auto bad_endpoint = [](auto change) {
    auto spec = endpoint("e", 1);
    change(spec);
    return refusal(kKrakow, putService("krakow", "s", {spec}));
  };
  CHECK(bad_endpoint([](auto& spec) { spec.address = "localhost"; }) == ErrorKind::Invalid);
  CHECK(bad_endpoint([](auto& spec) { spec.address = "0.0.0.0"; }) == ErrorKind::Invalid);
  CHECK(bad_endpoint([](auto& spec) { spec.port = 0; }) == ErrorKind::Invalid);
  CHECK(bad_endpoint([](auto& spec) { spec.slots = 0; }) == ErrorKind::Invalid);
  CHECK(bad_endpoint([](auto& spec) { spec.name = "Upper"; }) == ErrorKind::Invalid);
  CHECK(refusal(kKrakow, putService("krakow", "s", {endpoint("e", 1), endpoint("e", 2)})) ==
        ErrorKind::Invalid);
  CHECK(refusal(kKrakow, putService("krakow", "s", {endpoint("e", 1), endpoint("f", 1)})) ==
        ErrorKind::Invalid);

  CHECK(refusal(kKrakow, putService("krakow", "")) == ErrorKind::Invalid);
  CHECK(refusal(kKrakow, putService("krakow", std::string(kMaxNameBytes + 1, 'a'))) == ErrorKind::Invalid);
  CHECK(refusal(kKrakow, putSecret("krakow", "k", "")) == ErrorKind::Invalid);
  CHECK(refusal(kKrakow, putSecret("krakow", "k", "a\r\nX: b")) == ErrorKind::Invalid);
  CHECK(refusal(kAdministrator, putNode("n", {"krakow", "krakow"})) == ErrorKind::Invalid);
  CHECK(refusal(kAdministrator, putTenant("mesh")) == ErrorKind::Invalid);
  CHECK(refusal(kKrakow, put(ObjectKind::Route, "krakow", "r", wire::SecretSpecT{})) == ErrorKind::Invalid);

  wire::CredentialSpecT credential;
  credential.salt.assign(kMinSaltBytes, 1);
  credential.token_hash.assign(kTokenHashBytes, 2);
  credential.administrator = true;
  CHECK(refusal(kAdministrator, put(ObjectKind::Credential, "mesh", "root", credential)) == ErrorKind::None);
  CHECK(refusal(kAdministrator, put(ObjectKind::Credential, "krakow", "root", credential)) ==
        ErrorKind::Invalid);
  credential.token_hash.pop_back();
  CHECK(refusal(kAdministrator, put(ObjectKind::Credential, "mesh", "root", credential)) ==
        ErrorKind::Invalid);
}

TEST_CASE("the message about a wrong secret does not show it", "[transaction_check]") {
  const auto catalog = sampleCatalog();
  try {
    checkTransaction(catalog, kKrakow, transaction({putSecret("krakow", "k", "hidden value")}));
    FAIL("accepted");
  } catch (const Error& error) {
    CHECK(std::string(error.what()).find("hidden") == std::string::npos);
  }
}

TEST_CASE("references stay closed", "[transaction_check]") {
  CHECK(refusal(kKrakow, putRoute("krakow", "r", route("x.example", "missing"))) == ErrorKind::Reference);
  CHECK(refusal(kKrakow, putRoute("krakow", "r", route("x.example", "desk", "missing"))) ==
        ErrorKind::Reference);
  CHECK(refusal(kAdministrator, putRoute("astana", "r", route("x.example", "desk"))) == ErrorKind::Reference);
  CHECK(refusal(kAdministrator, putNode("n", {"missing"})) == ErrorKind::Reference);
  CHECK(refusal(kAdministrator, putService("missing", "s")) == ErrorKind::Reference);
  CHECK(refusal(kKrakow, drop(ObjectKind::Service, "krakow", "desk")) == ErrorKind::Reference);
  CHECK(refusal(kKrakow, drop(ObjectKind::Secret, "krakow", "key")) == ErrorKind::Reference);
  CHECK(refusal(kAdministrator, drop(ObjectKind::Tenant, "krakow", "")) == ErrorKind::Reference);
  CHECK(refusal(kKrakow, drop(ObjectKind::Service, "krakow", "missing")) == ErrorKind::NotFound);
}

TEST_CASE("references are judged after the whole change", "[transaction_check]") {
  const auto catalog = sampleCatalog();
  const auto both =
      transaction({putRoute("krakow", "new", route("new.example", "fresh")), putService("krakow", "fresh")});
  CHECK(refusal(catalog, kKrakow, both) == ErrorKind::None);
  const auto all_gone =
      transaction({drop(ObjectKind::Service, "krakow", "desk"), drop(ObjectKind::Route, "krakow", "edit")});
  CHECK(refusal(catalog, kKrakow, all_gone) == ErrorKind::None);
  const auto crossing = transaction({drop(ObjectKind::Secret, "krakow", "key"),
                                     putRoute("krakow", "late", route("late.example", "desk", "key"))});
  CHECK(refusal(catalog, kKrakow, crossing) == ErrorKind::Reference);
}

TEST_CASE("a tenant reaches its own objects only", "[transaction_check]") {
  CHECK(refusal(kKrakow, putService("astana", "s")) == ErrorKind::Forbidden);
  CHECK(refusal(kKrakow, drop(ObjectKind::Secret, "astana", "missing")) == ErrorKind::Forbidden);
  CHECK(refusal(kKrakow, putNode("node-1", {"krakow"})) == ErrorKind::Forbidden);
  CHECK(refusal(kKrakow, putTenant("krakow")) == ErrorKind::Forbidden);
  CHECK(refusal(kKrakow, put(ObjectKind::Credential, "krakow", "c", wire::CredentialSpecT{})) ==
        ErrorKind::Forbidden);
}

TEST_CASE("a host belongs to one tenant, whatever its case", "[transaction_check]") {
  const Actor astana{"astana", false};
  auto catalog = sampleCatalog();
  catalog.apply(transaction({putService("astana", "s")}));
  const auto steal = transaction({putRoute("astana", "r", route("DESK.example", "s"))});
  CHECK(refusal(catalog, astana, steal) == ErrorKind::Forbidden);
  const auto same_match = transaction({putRoute("krakow", "twin", route("desk.example", "desk"))});
  CHECK(refusal(catalog, kKrakow, same_match) == ErrorKind::Invalid);
  catalog.apply(transaction({drop(ObjectKind::Route, "krakow", "edit")}));
  CHECK(refusal(catalog, astana, steal) == ErrorKind::None);
}

TEST_CASE("of two changes that build on one version the second is refused", "[transaction_check]") {
  auto catalog = sampleCatalog();
  const auto first = transaction({putService("krakow", "a")}, catalog.version());
  const auto second = transaction({putService("krakow", "b")}, catalog.version());
  CHECK(refusal(catalog, kKrakow, first) == ErrorKind::None);
  catalog.apply(first);
  CHECK(refusal(catalog, kKrakow, second) == ErrorKind::Conflict);
}

TEST_CASE("a change has a shape", "[transaction_check]") {
  const auto catalog = sampleCatalog();
  CHECK(refusal(catalog, kKrakow, transaction({})) == ErrorKind::Invalid);
  const auto twice = transaction({putService("krakow", "a"), putService("krakow", "a")});
  CHECK(refusal(catalog, kKrakow, twice) == ErrorKind::Invalid);
  auto two_keys = putService("krakow", "a");
  two_keys->object = putService("astana", "a")->object;
  CHECK(refusal(catalog, kKrakow, transaction({two_keys})) == ErrorKind::Malformed);
  CHECK(refusal(catalog, kKrakow, transaction({std::make_shared<wire::OperationT>()})) ==
        ErrorKind::Malformed);
}

}  // namespace
}  // namespace cometstand::config

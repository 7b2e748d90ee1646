#include "config/catalog.h"

#include <catch2/catch.hpp>

#include "base/error.h"
#include "config/object_digest.h"
#include "config/objects.h"

namespace cometstand::config {
namespace {

using namespace test;  // NOLINT(google-build-using-namespace): builders of this folder

std::vector<std::string> names(const std::optional<Catalog::Changes>& changes) {
  std::vector<std::string> result;
  if (!changes) return {"snapshot"};
  for (const auto& change : *changes) {
    result.push_back((change->object ? "" : "-") + formatKey(*change->key));
  }
  return result;
}

using Names = std::vector<std::string>;

TEST_CASE("a delta names each changed object once", "[catalog]") {
  Catalog catalog;
  CHECK(catalog.apply(transaction({putTenant("krakow"), putService("krakow", "a")})) == 1);
  CHECK(catalog.apply(transaction({putService("krakow", "b")})) == 2);
  CHECK(catalog.apply(transaction({putService("krakow", "a")})) == 3);
  CHECK(catalog.apply(transaction({drop(ObjectKind::Service, "krakow", "b")})) == 4);
  CHECK(names(catalog.changesSince(4)).empty());
  CHECK(names(catalog.changesSince(3)) == Names{"-service krakow/b"});
  CHECK(names(catalog.changesSince(1)) == Names{"service krakow/a", "-service krakow/b"});
  CHECK(names(catalog.changesSince(5)) == Names{"snapshot"});
  CHECK(catalog.versionOf(makeKey(ObjectKind::Service, "krakow", "a")) == 3);
  CHECK(catalog.versionOf(makeKey(ObjectKind::Service, "krakow", "b")) == 0);
}

TEST_CASE("pruned tombstones turn an old delta into a snapshot", "[catalog]") {
  Catalog catalog(2);
  catalog.apply(
      transaction({putTenant("t"), putService("t", "a"), putService("t", "b"), putService("t", "c")}));
  catalog.apply(transaction({drop(ObjectKind::Service, "t", "a")}));
  catalog.apply(transaction({drop(ObjectKind::Service, "t", "b")}));
  CHECK(names(catalog.changesSince(1)).size() == 2);
  catalog.apply(transaction({drop(ObjectKind::Service, "t", "c")}));
  CHECK(names(catalog.changesSince(1)) == Names{"snapshot"});
  CHECK(names(catalog.changesSince(2)) == Names{"-service t/b", "-service t/c"});
  CHECK(catalog.prunedVersion() == 2);
}

TEST_CASE("an object created anew is no tombstone any more", "[catalog]") {
  Catalog catalog(1);
  catalog.apply(transaction({putTenant("t"), putService("t", "a"), putService("t", "b")}));
  catalog.apply(transaction({drop(ObjectKind::Service, "t", "a")}));
  catalog.apply(transaction({putService("t", "a")}));
  catalog.apply(transaction({drop(ObjectKind::Service, "t", "b")}));
  CHECK(names(catalog.changesSince(1)) == Names{"service t/a", "-service t/b"});
}

TEST_CASE("a restored catalog goes on like the first", "[catalog]") {
  Catalog catalog(2);
  catalog.apply(
      transaction({putTenant("t"), putService("t", "a"), putService("t", "b"), putService("t", "c")}));
  catalog.apply(transaction({drop(ObjectKind::Service, "t", "a"), drop(ObjectKind::Service, "t", "b")}));
  Catalog restored(2);
  restored.restore(catalog.version(), catalog.prunedVersion(), catalog.everything());
  for (auto* each : {&catalog, &restored}) each->apply(transaction({drop(ObjectKind::Service, "t", "c")}));
  CHECK(restored.version() == 3);
  CHECK(restored.prunedVersion() == catalog.prunedVersion());
  for (std::uint64_t version = 0; version <= 3; ++version) {
    CHECK(names(restored.changesSince(version)) == names(catalog.changesSince(version)));
  }
  CHECK(restored.references().referrers(makeKey(ObjectKind::Tenant, "t", "")).empty());
  CHECK_THROWS_AS(restored.restore(1, 2, {}), Error);
  CHECK(restored.version() == 3);
}

TEST_CASE("a digest tells versions and contents apart, and sums in any order", "[object_digest]") {
  const auto one = putService("t", "a")->object;
  const auto other = putService("t", "b")->object;
  const auto digest = objectDigest(*one, 1);
  CHECK(sameDigest(digest, objectDigest(wire::ObjectT(*one), 1)));
  CHECK_FALSE(sameDigest(digest, objectDigest(*one, 2)));
  CHECK_FALSE(sameDigest(digest, objectDigest(*other, 1)));
  const auto sum = addDigest(digest, objectDigest(*other, 1));
  CHECK(sameDigest(sum, addDigest(objectDigest(*other, 1), digest)));
  CHECK(sameDigest(subtractDigest(sum, digest), objectDigest(*other, 1)));
  const wire::Digest largest(~0ULL, ~0ULL);
  CHECK(sameDigest(addDigest(largest, wire::Digest(1, 0)), wire::Digest(0, 0)));
  CHECK(sameDigest(subtractDigest(wire::Digest(0, 0), wire::Digest(1, 0)), largest));
}

}  // namespace
}  // namespace cometstand::config

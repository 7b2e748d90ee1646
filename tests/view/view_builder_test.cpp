#include "view/view_builder.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "base/error.h"
#include "base/random.h"
#include "view/changes.h"

namespace cometstand::view {
namespace {

using namespace test;
using config::test::drop;
using config::test::putRoute;
using config::test::putSecret;
using config::test::putService;
using config::test::route;

ObjectId cuesRoute() { return {wire::ObjectKind::Route, "napisy", "cues"}; }

ViewPointer baseView() {
  auto changes = tenantChanges("napisy");
  changes.push_back(nodeChange("proxy-1", {"napisy"}));
  return selectView(changes, "proxy-1", 4);
}

/// @return a delta from the base view to version 9 that names the digest which its changes bring about.
wire::ViewDeltaT deltaOf(const View& base, std::vector<ChangePointer> changes) {
  DigestSum digest = base.digest();
  for (const auto& change : changes) {
    const auto known = base.objects().find(objectId(*change));
    if (known != base.objects().end()) digest -= digestOf(*known->second);
    if (change->object) digest += digestOf(*change);
  }
  wire::ViewDeltaT delta;
  delta.from_version = base.version();
  delta.to_version = 9;
  delta.digest = digest.toWire();
  delta.changes = std::move(changes);
  return delta;
}

template <typename Function>
ErrorKind kindOf(const Function& function) {
  try {
    function();
  } catch (const Error& error) {
    return error.kind();
  }
  return ErrorKind::None;
}

TEST_CASE("the digest does not depend on the order of changes") {
  auto changes = tenantChanges("napisy");
  const auto expected = baseView()->digest();
  RandomSource random(7);
  for (int round = 0; round < 20; ++round) {
    for (std::size_t i = changes.size(); i > 1; --i) {
      std::swap(changes[i - 1], changes[random.uniform(0, i - 1)]);
    }
    ViewBuilder builder;
    builder.apply(nodeChange("proxy-1", {"napisy"}));
    for (const auto& change : changes) builder.apply(change);
    CHECK(builder.finish(4)->digest() == expected);
  }
}

TEST_CASE("the digest tells values and versions of one object apart") {
  const auto first = digestOf(*changeAt(3, putSecret("napisy", "token", "a")));
  CHECK_FALSE(first == digestOf(*changeAt(3, putSecret("napisy", "token", "b"))));
  CHECK_FALSE(first == digestOf(*changeAt(4, putSecret("napisy", "token", "a"))));
}

TEST_CASE("a delta and a snapshot lead to the same view") {
  const auto base = baseView();
  const auto by_delta =
      applyDelta(*base, deltaOf(*base, {changeAt(7, putService("napisy", "render-vault")),
                                        changeAt(8, drop(wire::ObjectKind::Route, "napisy", "cues")),
                                        changeAt(9, drop(wire::ObjectKind::Secret, "napisy", "token"))}));
  const auto by_snapshot = applySnapshot(*base, by_delta->toSnapshot());
  CHECK(by_snapshot->digest() == by_delta->digest());
  CHECK(by_snapshot->objects().size() == by_delta->objects().size());
  CHECK(by_delta->find(cuesRoute()) == nullptr);
  CHECK(by_delta->service("napisy", "render-vault") != nullptr);
}

TEST_CASE("a staged view is refused as a whole and the base stays as it was") {
  const auto base = baseView();
  const auto before = base->digest();
  auto delta = deltaOf(*base, {changeAt(9, putService("napisy", "render-vault"))});

  SECTION("its digest differs") {
    delta.digest = base->digest().toWire();
    CHECK(kindOf([&] { applyDelta(*base, delta); }) == ErrorKind::Corrupt);
  }
  SECTION("the delta is not newer") {
    delta.to_version = base->version();
    CHECK(kindOf([&] { applyDelta(*base, delta); }) == ErrorKind::Conflict);
  }
  SECTION("the delta starts elsewhere") {
    delta.from_version = base->version() - 1;
    CHECK(kindOf([&] { applyDelta(*base, delta); }) == ErrorKind::Conflict);
  }
  SECTION("the snapshot is not newer") {
    CHECK(kindOf([&] { applySnapshot(*base, base->toSnapshot()); }) == ErrorKind::Conflict);
  }
  SECTION("a route would lose its service") {
    delta = deltaOf(*base, {changeAt(9, drop(wire::ObjectKind::Service, "napisy", "editor-desk"))});
    CHECK(kindOf([&] { applyDelta(*base, delta); }) == ErrorKind::Reference);
  }
  SECTION("a route would lose its secret") {
    delta = deltaOf(*base, {changeAt(9, drop(wire::ObjectKind::Secret, "napisy", "token"))});
    CHECK(kindOf([&] { applyDelta(*base, delta); }) == ErrorKind::Reference);
  }
  SECTION("a new route names a service of another tenant") {
    delta = deltaOf(*base, {changeAt(9, putRoute("napisy", "other", route("", "registry")))});
    CHECK(kindOf([&] { applyDelta(*base, delta); }) == ErrorKind::Reference);
  }
  SECTION("an object belongs to a tenant that the node does not name") {
    delta = deltaOf(*base, {changeAt(9, putSecret("protokoly", "token", "x"))});
    CHECK(kindOf([&] { applyDelta(*base, delta); }) == ErrorKind::Reference);
  }
  CHECK(base->digest() == before);
  CHECK(base->version() == 4);
  CHECK(base->find(cuesRoute()) != nullptr);
}

TEST_CASE("a view holds the secrets of the node's own tenants only") {
  auto changes = tenantChanges("napisy");
  const auto others = tenantChanges("protokoly");
  changes.insert(changes.end(), others.begin(), others.end());
  changes.push_back(nodeChange("proxy-1", {"napisy"}));
  changes.push_back(nodeChange("proxy-2", {"napisy", "protokoly"}));

  const auto one = selectView(changes, "proxy-1", 4);
  CHECK(one->secret("napisy", "token") != nullptr);
  CHECK(one->secret("protokoly", "token") == nullptr);
  CHECK(one->nodeName() == "proxy-1");
  const auto both = selectView(changes, "proxy-2", 4);
  CHECK(both->secret("protokoly", "token") != nullptr);
  CHECK(kindOf([&] { selectView(changes, "proxy-3", 4); }) == ErrorKind::NotFound);
}

}  // namespace
}  // namespace cometstand::view

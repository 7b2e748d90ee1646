#include "mesh/configuration.h"

#include <catch2/catch.hpp>

#include "base/error.h"
#include "mesh/route_table.h"

namespace cometstand::mesh {
namespace {

std::shared_ptr<wire::MeshRouteT> makeRoute(const std::string& name, const std::string& prefix) {
  auto route = std::make_shared<wire::MeshRouteT>();
  route->name = name;
  route->host = "shop.example";
  route->path_prefix = prefix;
  route->timeout_ms = 1'000;
  route->objective_ms = 500;
  auto share = std::make_shared<wire::TrafficShareT>();
  share->service = "shop";
  share->weight = 1;
  route->shares.push_back(share);
  return route;
}

wire::MeshConfigurationT makeConfiguration() {
  wire::MeshConfigurationT configuration;
  configuration.routes = {makeRoute("short", "/a/"), makeRoute("long", "/a/b/")};
  auto service = std::make_shared<wire::MeshServiceT>();
  service->name = "shop";
  configuration.services.push_back(service);
  return configuration;
}

}  // namespace

TEST_CASE("a configuration survives encoding") {
  const auto configuration = makeConfiguration();
  const auto bytes = encodeConfiguration(configuration);
  const auto read = decodeConfiguration(bytes);
  REQUIRE(read.routes.size() == 2);
  CHECK(read.routes[1]->path_prefix == "/a/b/");
  CHECK(encodeConfiguration(read) == bytes);
}

TEST_CASE("damaged bytes are refused with a kind") {
  const auto bytes = encodeConfiguration(makeConfiguration());
  const auto frame = compress(bytes);
  CHECK(decompress(frame) == bytes);
  for (std::size_t i = 0; i < frame.size(); ++i) {
    auto damaged = frame;
    damaged[i] ^= 0xffU;
    CHECK_THROWS_AS(decodeConfiguration(decompress(damaged)), Error);
  }
  CHECK_THROWS_AS(decodeConfiguration(Bytes(bytes.begin(), bytes.begin() + 20)), Error);
  CHECK_THROWS_AS(decodeConfiguration({}), Error);
}

TEST_CASE(
    "a configuration compressed with the one before as prefix is small, and is refused with another prefix") {
  auto configuration = makeConfiguration();
  for (int i = 0; i < 300; ++i)
    configuration.routes.push_back(makeRoute(std::to_string(i), "/" + std::to_string(i * 7919) + "/"));
  const auto before = encodeConfiguration(configuration);
  configuration.routes[7]->timeout_ms = 777;
  const auto after = encodeConfiguration(configuration);
  const auto patch = compress(after, before);
  CHECK(decompress(patch, before) == after);
  CHECK(patch.size() * 20 < compress(after).size());
  auto other = before;
  other[other.size() / 2] ^= 0xffU;
  CHECK_THROWS_AS(decompress(patch, other), Error);
}

TEST_CASE("what must not be accepted is refused") {
  auto configuration = makeConfiguration();
  auto& route = *configuration.routes[0];
  CHECK_NOTHROW(checkConfiguration(configuration));
  SECTION("no host") { route.host.clear(); }
  SECTION("a prefix without a slash at its end") { route.path_prefix = "/a"; }
  SECTION("no timeout") { route.timeout_ms = 0; }
  SECTION("a timeout over ten minutes") { route.timeout_ms = kMaxTimeoutMs + 1; }
  SECTION("an objective a minute over the timeout") {
    route.objective_ms = route.timeout_ms + kMaxObjectiveExcessMs;
  }
  SECTION("an unknown service") { route.shares[0]->service = "none"; }
  SECTION("no weight") { route.shares[0]->weight = 0; }
  SECTION("two routes of one place") { route.path_prefix = "/a/b/"; }
  CHECK_THROWS_AS(checkConfiguration(configuration), Error);
}

TEST_CASE("of a host's routes the longest prefix that begins the path is taken") {
  const RouteTable table(1, makeConfiguration());
  REQUIRE(table.find("shop.example", "/a/b/c") != nullptr);
  CHECK(table.find("shop.example", "/a/b/c")->name == "long");
  CHECK(table.find("shop.example:80", "/a/x?y=/a/b/")->name == "short");
  CHECK(table.find("shop.example", "/a") == nullptr);
  CHECK(table.find("other.example", "/a/b/c") == nullptr);
}

TEST_CASE("services are drawn by weight") {
  auto route = makeRoute("split", "/a/");
  auto other = std::make_shared<wire::TrafficShareT>();
  other->service = "other";
  other->weight = 3;
  route->shares.push_back(other);
  RandomSource random(1);
  int others = 0;
  constexpr int kDraws = 4'000;
  for (int i = 0; i < kDraws; ++i) others += drawService(*route, random) == "other" ? 1 : 0;
  CHECK(others > kDraws * 0.7);
  CHECK(others < kDraws * 0.8);
}

}  // namespace cometstand::mesh

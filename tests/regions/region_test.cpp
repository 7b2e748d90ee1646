// Two regions of the real stores and sidecars, with a link of a bounded width between them.
#include <catch2/catch.hpp>
#include <cmath>

#include "region_mesh.h"

namespace cometstand::regions::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A target takes about 60 requests a second.
constexpr double kCapacity = 60;
/// By how much the shares of two regions' callers may differ.
constexpr double kMostDifference = 0.05;

MeshSetup setupOf(double east, double west) {
  MeshSetup setup;
  setup.calls_per_second = {{"east", east * kCapacity}, {"west", west * kCapacity}};
  return setup;
}

double differenceOf(const RegionMesh& mesh) {
  return std::abs(mesh.served("east").share() - mesh.served("west").share());
}

}  // namespace

TEST_CASE("callers of a full region get the same share as those of the other one") {
  const double east = GENERATE(1.3, 1.6);
  const double west = GENERATE(0.5, 0.8);
  auto setup = setupOf(east, west);
  setup.seed = GENERATE(range(1, 6));
  RegionMesh mesh(setup);
  mesh.runFor(seconds(10));
  INFO("seed " << setup.seed << " east " << east << " west " << west);
  CAPTURE(mesh.served("east").share(), mesh.served("west").share(), mesh.requests_between);
  CHECK(mesh.served("east").all() > 2'000);
  CHECK(differenceOf(mesh) <= kMostDifference);
  const double bearable = std::min(1.0, 2 / (east + west));
  CHECK(mesh.served("east").share() > bearable - 0.1);
}

TEST_CASE("regions that are not full send each other hardly any request") {
  RegionMesh mesh(setupOf(0.5, 0.5));
  mesh.runFor(seconds(10));
  CHECK(mesh.served("east").share() > 0.999);
  CHECK(mesh.served("west").share() > 0.999);
  CAPTURE(mesh.bytes_from["east"], mesh.bytes_from["west"]);
  CHECK(mesh.requests_between <= mesh.served("east").all() / 100);
}

TEST_CASE("a link of a known capacity carries no more than that, and small requests go first") {
  auto setup = setupOf(1.6, 0.5);
  setup.link = 80'000;
  setup.known_link = setup.link;
  setup.large_answer = 6'000;
  RegionMesh mesh(setup);
  mesh.runFor(seconds(10));
  CAPTURE(mesh.bytes_from["east"], mesh.bytes_from["west"], mesh.longest_queue.count());
  CHECK(mesh.bytes_from["west"] > setup.link * 2);
  CHECK(mesh.bytes_from["west"] <= setup.link * 10);
  CHECK(mesh.bytes_from["east"] <= setup.link * 10);
  CHECK(mesh.longest_queue < milliseconds(200));
  CAPTURE(mesh.served("east", "read").share(), mesh.served("east", "large").share());
  CHECK(mesh.served("east", "read").share() > mesh.served("east", "large").share() + 0.05);
}

TEST_CASE("a link whose capacity is not known is not filled for long") {
  auto setup = setupOf(1.6, 0.5);
  setup.link = 60'000;
  RegionMesh mesh(setup);
  mesh.runFor(seconds(10));
  mesh.beginCounting();
  mesh.runFor(seconds(10));
  CAPTURE(mesh.bytes_from["east"], mesh.bytes_from["west"], mesh.longest_queue.count());
  CHECK(mesh.bytes_from["west"] > setup.link);
  CHECK(mesh.longest_queue < milliseconds(500));
  CHECK(mesh.served("west").share() > 0.9);
}

TEST_CASE("a region that is cut off for 20 s serves its own callers, and both help each other afterwards") {
  RegionMesh mesh(setupOf(0.8, 0.8));
  mesh.setCut(true);
  mesh.runFor(seconds(3));
  mesh.beginCounting();
  mesh.runFor(seconds(17));
  CHECK(mesh.served("east").share() > 0.98);
  CHECK(mesh.served("west").share() > 0.98);
  mesh.setCut(false);
  mesh.runFor(seconds(5));
  mesh.beginCounting();
  mesh.runFor(seconds(5));
  CHECK(mesh.served("east").share() > 0.98);
  CHECK(mesh.served("west").share() > 0.98);
}

TEST_CASE("a full region that is cut off for 20 s gets its share again afterwards") {
  RegionMesh mesh(setupOf(1.3, 0.5));
  mesh.setCut(true);
  mesh.runFor(seconds(3));
  mesh.beginCounting();
  mesh.runFor(seconds(17));
  CAPTURE(mesh.served("east").share(), mesh.served("west").share());
  CHECK(mesh.served("west").share() > 0.98);
  CHECK(mesh.served("east").share() > 1 / 1.3 - 0.1);
  mesh.setCut(false);
  mesh.runFor(seconds(8));
  mesh.beginCounting();
  mesh.runFor(seconds(5));
  CHECK(differenceOf(mesh) <= kMostDifference);
  CHECK(mesh.served("east").share() > 0.9);
}

TEST_CASE("a route is served in its regions alone, also while these change under load") {
  auto setup = setupOf(1.3, 0.5);
  setup.kept_to = {"east"};
  RegionMesh mesh(setup);
  mesh.runFor(seconds(5));
  CHECK(mesh.kept_runs["east"] > 300);
  CHECK(mesh.kept_runs["west"] == 0);
  mesh.keepTo({"west"});
  mesh.beginCounting();
  mesh.runFor(seconds(5));
  CHECK(mesh.kept_runs["east"] == 0);
  CHECK(mesh.kept_runs["west"] > 300);
  for (int i = 0; i < 20; ++i) mesh.keepTo({i % 2 == 0 ? "east" : "west"});
  CHECK(mesh.kept_wrong == 0);
  for (const char* region : {"east", "west"}) CHECK(mesh.served(region, "kept").other == 0);
}

TEST_CASE("a route whose only region has no zone is refused as not run") {
  auto setup = setupOf(0.3, 0.3);
  setup.kept_to = {"north"};
  RegionMesh mesh(setup);
  mesh.runFor(seconds(3));
  const auto kept = mesh.served("east", "kept");
  CHECK(kept.all() > 30);
  CHECK(kept.not_run == kept.all());
  CHECK(mesh.kept_runs.empty());
  CHECK(mesh.served("east", "read").share() > 0.999);
}

TEST_CASE("a route whose only region is cut off is refused as not run soon after") {
  auto setup = setupOf(0.3, 0.3);
  setup.kept_to = {"west"};
  RegionMesh mesh(setup);
  mesh.runFor(seconds(1));
  mesh.setCut(true);
  mesh.runFor(seconds(6));
  mesh.beginCounting();
  mesh.runFor(seconds(5));
  const auto kept = mesh.served("east", "kept");
  CHECK(kept.all() > 50);
  CHECK(kept.not_run == kept.all());
  CHECK(mesh.served("west", "kept").share() > 0.99);
  CHECK(mesh.served("east", "read").share() > 0.99);
}

}  // namespace cometstand::regions::test

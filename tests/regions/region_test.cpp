// Tests two regions of real stores and sidecars with a simulated link of limited capacity between them.
#include <catch2/catch.hpp>
#include <cmath>

#include "region_mesh.h"

namespace cometstand::regions::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Requests a second that a target can run, approximately.
constexpr double kCapacity = 60;
/// Allowed difference between the shares of answered requests of the two regions' callers.
constexpr double kMaxShareDifference = 0.05;

MeshSetup makeSetup(double east, double west) {
  MeshSetup setup;
  setup.calls_per_second = {{"east", east * kCapacity}, {"west", west * kCapacity}};
  return setup;
}

double answeredShareDifference(const RegionMesh& mesh) {
  return std::abs(mesh.outcomes("east").answeredShare() - mesh.outcomes("west").answeredShare());
}

}  // namespace

TEST_CASE("callers of an overloaded region get the same share of answers as those of the other one") {
  const double east = GENERATE(1.3, 1.6);
  const double west = GENERATE(0.5, 0.8);
  auto setup = makeSetup(east, west);
  setup.seed = GENERATE(range(1, 6));
  RegionMesh mesh(setup);
  mesh.runFor(seconds(10));
  INFO("seed " << setup.seed << " east " << east << " west " << west);
  CAPTURE(mesh.outcomes("east").answeredShare(), mesh.outcomes("west").answeredShare(),
          mesh.cross_region_requests);
  CHECK(mesh.outcomes("east").all() > 2'000);
  CHECK(answeredShareDifference(mesh) <= kMaxShareDifference);
  const double attainable_share = std::min(1.0, 2 / (east + west));
  CHECK(mesh.outcomes("east").answeredShare() > attainable_share - 0.1);
}

TEST_CASE("regions with spare capacity send each other at most 1 % of their requests") {
  RegionMesh mesh(makeSetup(0.5, 0.5));
  mesh.runFor(seconds(10));
  CHECK(mesh.outcomes("east").answeredShare() > 0.999);
  CHECK(mesh.outcomes("west").answeredShare() > 0.999);
  CAPTURE(mesh.bytes_sent_by_region["east"], mesh.bytes_sent_by_region["west"]);
  CHECK(mesh.cross_region_requests <= mesh.outcomes("east").all() / 100);
}

TEST_CASE("a link of configured capacity is not overloaded, and small requests have priority on it") {
  auto setup = makeSetup(1.6, 0.5);
  setup.link_bandwidth = 80'000;
  setup.configured_link_bandwidth = setup.link_bandwidth;
  setup.large_answer_bytes = 6'000;
  RegionMesh mesh(setup);
  mesh.runFor(seconds(10));
  CAPTURE(mesh.bytes_sent_by_region["east"], mesh.bytes_sent_by_region["west"], mesh.max_queue_time.count());
  CHECK(mesh.bytes_sent_by_region["west"] > setup.link_bandwidth * 2);
  CHECK(mesh.bytes_sent_by_region["west"] <= setup.link_bandwidth * 10);
  CHECK(mesh.bytes_sent_by_region["east"] <= setup.link_bandwidth * 10);
  CHECK(mesh.max_queue_time < milliseconds(200));
  CAPTURE(mesh.outcomes("east", "read").answeredShare(), mesh.outcomes("east", "large").answeredShare());
  CHECK(mesh.outcomes("east", "read").answeredShare() >
        mesh.outcomes("east", "large").answeredShare() + 0.05);
}

TEST_CASE("a link whose capacity is not configured is not saturated for long") {
  auto setup = makeSetup(1.6, 0.5);
  setup.link_bandwidth = 60'000;
  RegionMesh mesh(setup);
  mesh.runFor(seconds(10));
  mesh.resetCounters();
  mesh.runFor(seconds(10));
  CAPTURE(mesh.bytes_sent_by_region["east"], mesh.bytes_sent_by_region["west"], mesh.max_queue_time.count());
  CHECK(mesh.bytes_sent_by_region["west"] > setup.link_bandwidth);
  CHECK(mesh.max_queue_time < milliseconds(500));
  CHECK(mesh.outcomes("west").answeredShare() > 0.9);
}

TEST_CASE("a region that is partitioned for 20 s serves its own callers, and all are served afterwards") {
  RegionMesh mesh(makeSetup(0.8, 0.8));
  mesh.setPartitioned(true);
  mesh.runFor(seconds(3));
  mesh.resetCounters();
  mesh.runFor(seconds(17));
  CHECK(mesh.outcomes("east").answeredShare() > 0.98);
  CHECK(mesh.outcomes("west").answeredShare() > 0.98);
  mesh.setPartitioned(false);
  mesh.runFor(seconds(5));
  mesh.resetCounters();
  mesh.runFor(seconds(5));
  CHECK(mesh.outcomes("east").answeredShare() > 0.98);
  CHECK(mesh.outcomes("west").answeredShare() > 0.98);
}

TEST_CASE("an overloaded region that is partitioned for 20 s gets its share again afterwards") {
  RegionMesh mesh(makeSetup(1.3, 0.5));
  mesh.setPartitioned(true);
  mesh.runFor(seconds(3));
  mesh.resetCounters();
  mesh.runFor(seconds(17));
  CAPTURE(mesh.outcomes("east").answeredShare(), mesh.outcomes("west").answeredShare());
  CHECK(mesh.outcomes("west").answeredShare() > 0.98);
  CHECK(mesh.outcomes("east").answeredShare() > 1 / 1.3 - 0.1);
  mesh.setPartitioned(false);
  mesh.runFor(seconds(8));
  mesh.resetCounters();
  mesh.runFor(seconds(5));
  CHECK(answeredShareDifference(mesh) <= kMaxShareDifference);
  CHECK(mesh.outcomes("east").answeredShare() > 0.9);
}

TEST_CASE("a route is served only in its regions, also while these change under load") {
  auto setup = makeSetup(1.3, 0.5);
  setup.restricted_regions = {"east"};
  RegionMesh mesh(setup);
  mesh.runFor(seconds(5));
  CHECK(mesh.restricted_runs["east"] > 300);
  CHECK(mesh.restricted_runs["west"] == 0);
  mesh.restrictTo({"west"});
  mesh.resetCounters();
  mesh.runFor(seconds(5));
  CHECK(mesh.restricted_runs["east"] == 0);
  CHECK(mesh.restricted_runs["west"] > 300);
  for (int i = 0; i < 20; ++i) mesh.restrictTo({i % 2 == 0 ? "east" : "west"});
  CHECK(mesh.disallowed_runs == 0);
  for (const char* region : {"east", "west"}) CHECK(mesh.outcomes(region, "kept").other == 0);
}

TEST_CASE("requests on a route whose only region has no zone are refused as not run") {
  auto setup = makeSetup(0.3, 0.3);
  setup.restricted_regions = {"north"};
  RegionMesh mesh(setup);
  mesh.runFor(seconds(3));
  const auto restricted = mesh.outcomes("east", "kept");
  CHECK(restricted.all() > 30);
  CHECK(restricted.not_run == restricted.all());
  CHECK(mesh.restricted_runs.empty());
  CHECK(mesh.outcomes("east", "read").answeredShare() > 0.999);
}

TEST_CASE("requests on a route whose only region is partitioned are soon refused as not run") {
  auto setup = makeSetup(0.3, 0.3);
  setup.restricted_regions = {"west"};
  RegionMesh mesh(setup);
  mesh.runFor(seconds(1));
  mesh.setPartitioned(true);
  mesh.runFor(seconds(6));
  mesh.resetCounters();
  mesh.runFor(seconds(5));
  const auto restricted = mesh.outcomes("east", "kept");
  CHECK(restricted.all() > 50);
  CHECK(restricted.not_run == restricted.all());
  CHECK(mesh.outcomes("west", "kept").answeredShare() > 0.99);
  CHECK(mesh.outcomes("east", "read").answeredShare() > 0.99);
}

}  // namespace cometstand::regions::test

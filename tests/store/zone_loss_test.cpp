// Clusters that spread their voters over the zones, and lose zones.
#include <catch2/catch.hpp>

#include "zoned_cluster.h"

namespace cometstand::store::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("voters spread over the zones, whichever replicas were the first") {
  ZonedCluster cluster({"a", "a", "a", "b", "b", "c"}, 3, 3, GENERATE(1, 2, 3));
  cluster.network.startAll();
  REQUIRE(cluster.reaches({{"a", 1}, {"b", 1}, {"c", 1}}));
  const auto settled = cluster.membership()->voters;
  cluster.network.runFor(seconds(30));
  REQUIRE(cluster.membership()->voters.size() == settled.size());
  for (std::size_t i = 0; i < settled.size(); ++i)
    CHECK(cluster.membership()->voters[i]->id == settled[i]->id);
}

TEST_CASE("five voters spread over three zones with several replicas each") {
  ZonedCluster cluster({"a", "a", "a", "b", "b", "b", "c", "c", "c"}, 3, 5, GENERATE(1, 2, 3));
  cluster.network.startAll();
  REQUIRE(cluster.network.runUntil([&] {
    const auto spread = cluster.spread();
    return spread.size() == 3 && outlastsZones(spread, 1) && cluster.membership()->voters.size() == 5;
  }));
}

TEST_CASE("voters spread over the zones that have replicas, though one has none") {
  ZonedCluster cluster({"a", "a", "a", "b"}, 3, 3);
  cluster.network.startAll();
  CHECK(cluster.reaches({{"a", 2}, {"b", 1}}));
}

TEST_CASE("two zones may be lost of five") {
  ZonedCluster cluster({"a", "a", "b", "b", "c", "d", "e"}, 3, 5, GENERATE(1, 2), 2);
  cluster.network.startAll();
  REQUIRE(cluster.reaches({{"a", 1}, {"b", 1}, {"c", 1}, {"d", 1}, {"e", 1}}));
  const auto change = cluster.beginChange(0, 1);
  REQUIRE(cluster.network.runUntil([&] { return *change; }));
  cluster.loseZone("a");
  cluster.loseZone("b");
  CHECK(cluster.read() == 1);
}

TEST_CASE("without tolerated zone losses no voter is replaced for its zone") {
  ZonedCluster cluster({"a", "a", "a", "b", "c"}, 3, 3, 1, 0);
  cluster.network.startAll();
  cluster.network.runFor(seconds(30));
  CHECK(cluster.spread() == VotersByZone{{"a", 3}});
}

TEST_CASE("no voter is replaced for its zone while another one is away") {
  ZonedCluster cluster({"a", "a", "b", "c"}, 3, 3);
  for (std::size_t i = 0; i < 3; ++i) cluster.network.start(i);
  REQUIRE(cluster.reaches({{"a", 2}, {"b", 1}}));
  cluster.network.runFor(milliseconds(500));
  cluster.network.crash(2);
  cluster.network.runFor(milliseconds(500));
  cluster.network.start(3);
  cluster.network.runFor(milliseconds(1'500));
  CHECK(cluster.spread() == VotersByZone{{"a", 2}, {"b", 1}});
  cluster.network.start(2);
  CHECK(cluster.reaches({{"a", 1}, {"b", 1}, {"c", 1}}));
}

TEST_CASE("what was acknowledged is kept when a zone is lost at any moment of a change") {
  const std::string lost = GENERATE("a", "b", "c");
  const Duration moment = milliseconds(GENERATE(0, 1, 2, 3, 4, 5, 6, 8, 10, 20));
  ZonedCluster cluster({"a", "a", "b", "b", "c", "c"}, 3, 3, GENERATE(1, 2));
  cluster.network.startAll();
  REQUIRE(cluster.reaches({{"a", 1}, {"b", 1}, {"c", 1}}));
  const auto first = cluster.beginChange(0, 1);
  REQUIRE(cluster.network.runUntil([&] { return *first; }));
  const auto second = cluster.beginChange(1, 2);
  cluster.network.runFor(moment);
  const bool acknowledged = *second;
  cluster.loseZone(lost);
  const auto revision = cluster.read();
  REQUIRE(revision);
  CHECK(*revision >= (acknowledged ? 2 : 1));
}

TEST_CASE("what was acknowledged is kept when a zone is lost at any moment of a step of the spread") {
  const std::string lost = GENERATE("a", "b", "c", "d");
  const Duration moment = milliseconds(GENERATE(0, 1, 2, 3, 4, 5, 6, 8));
  ZonedCluster cluster({"a", "a", "b", "b", "c", "d"}, 3, 5, GENERATE(1, 2));
  for (std::size_t i = 0; i < 5; ++i) cluster.network.start(i);
  REQUIRE(cluster.reaches({{"a", 2}, {"b", 2}, {"c", 1}}));
  const auto change = cluster.beginChange(0, 1);
  REQUIRE(cluster.network.runUntil([&] { return *change; }));
  cluster.network.start(5);
  REQUIRE(cluster.network.runUntil([&] { return consensus::isVoter(*cluster.membership(), 6); }));
  cluster.network.runFor(moment);
  cluster.loseZone(lost);
  CHECK(cluster.read() == 1);
}

// Had the voter of the zone without power been replaced by a second one of another zone, a majority, and with
// it the only copies, could stand in that zone.
TEST_CASE("what was acknowledged is kept when one zone has no power and another one loses its disks") {
  const std::string without_disks = GENERATE("b", "c");
  ZonedCluster cluster({"a", "a", "b", "b", "c", "c"}, 3, 3, GENERATE(1, 2, 3));
  cluster.network.startAll();
  REQUIRE(cluster.reaches({{"a", 1}, {"b", 1}, {"c", 1}}));
  cluster.stopZone("a");
  cluster.network.runFor(seconds(10));
  REQUIRE(cluster.network.leader());
  const auto change = cluster.beginChange(0, 1);
  REQUIRE(cluster.network.runUntil([&] { return *change; }, seconds(5)));
  cluster.loseZone(without_disks);
  cluster.network.runFor(seconds(2));
  cluster.startZone("a");
  CHECK(cluster.read() == 1);
}

TEST_CASE("a voter that is gone for long is replaced, though by one of another zone") {
  ZonedCluster cluster({"a", "b", "c", "b"}, 3, 3);
  cluster.network.startAll();
  REQUIRE(cluster.reaches({{"a", 1}, {"b", 1}, {"c", 1}}));
  cluster.loseZone("a");
  cluster.network.runFor(seconds(30));
  CHECK(cluster.spread() == VotersByZone{{"a", 1}, {"b", 1}, {"c", 1}});
  CHECK(cluster.reaches({{"b", 2}, {"c", 1}}, seconds(40)));
}

TEST_CASE("a voter that is gone is soon replaced by one of its own zone") {
  ZonedCluster cluster({"a", "b", "c", "a", "b"}, 3, 3);
  cluster.network.startAll();
  REQUIRE(cluster.reaches({{"a", 1}, {"b", 1}, {"c", 1}}));
  cluster.network.crash(0);
  cluster.network.loseDisk(0);
  REQUIRE(cluster.network.runUntil(
      [&] {
        const auto now = cluster.membership();
        return now && now->replaced == 0 && consensus::findReplica(*now, 1) == nullptr;
      },
      seconds(6)));
  CHECK(cluster.spread() == VotersByZone{{"a", 1}, {"b", 1}, {"c", 1}});
}

TEST_CASE("a zone that was lost gets its voter back, and then the next one may be lost") {
  ZonedCluster cluster({"a", "a", "b", "b", "c", "c"}, 3, 3, GENERATE(1, 2, 3));
  cluster.network.startAll();
  REQUIRE(cluster.reaches({{"a", 1}, {"b", 1}, {"c", 1}}));
  cluster.loseZone("a");
  cluster.network.runFor(seconds(8));
  REQUIRE(cluster.network.leader());
  const auto change = cluster.beginChange(0, 1);
  REQUIRE(cluster.network.runUntil([&] { return *change; }, seconds(5)));
  cluster.restoreZone("a");
  const VotersByZone wanted{{"a", 1}, {"b", 1}, {"c", 1}};
  REQUIRE(cluster.network.runUntil([&] { return cluster.spread() == wanted && cluster.allVotersRun(); }));
  cluster.network.runFor(milliseconds(200));
  cluster.loseZone(GENERATE("b", "c"));
  CHECK(cluster.read() == 1);
}

TEST_CASE("a voter that moves to another zone leaves its place to one of the zone it left") {
  ZonedCluster cluster({"a", "b", "c", "a", "b"}, 3, 3);
  cluster.network.startAll();
  REQUIRE(cluster.reaches({{"a", 1}, {"b", 1}, {"c", 1}}));
  // The machine of zone a comes up in zone b, with an empty disk.
  cluster.network.crash(0);
  cluster.network.loseDisk(0);
  cluster.network.options(0).self.id = 10;
  cluster.setUp(0, false);
  cluster.network.options(0).self.zone = "b";
  cluster.network.start(0);
  const VotersByZone wanted{{"a", 1}, {"b", 1}, {"c", 1}};
  REQUIRE(cluster.network.runUntil([&] {
    const auto now = cluster.membership();
    return now && cluster.spread() == wanted && consensus::findReplica(*now, 1) == nullptr;
  }));
}

}  // namespace cometstand::store::test

// Tests that voters spread over the zones and that acknowledged changes survive zone losses.
#include <catch2/catch.hpp>

#include "zoned_cluster.h"

namespace cometstand::store::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("voters spread over the zones when the initial voters are not spread") {
  ZonedCluster cluster({"a", "a", "a", "b", "b", "c"}, 3, 3, GENERATE(1, 2, 3));
  cluster.network.startAll();
  REQUIRE(cluster.reachesSpread({{"a", 1}, {"b", 1}, {"c", 1}}));
  const auto settled = cluster.membership()->voters;
  cluster.network.runFor(seconds(30));
  REQUIRE(cluster.membership()->voters.size() == settled.size());
  for (std::size_t i = 0; i < settled.size(); ++i)
    CHECK(cluster.membership()->voters[i]->id == settled[i]->id);
}

TEST_CASE("five voters spread over three zones with several replicas each") {
  ZonedCluster cluster({"a", "a", "a", "b", "b", "b", "c", "c", "c"}, 3, 5, GENERATE(1, 2, 3));
  cluster.network.startAll();
  REQUIRE(cluster.network.runUntil([&] { return cluster.isSpread(3, 5); }));
}

TEST_CASE("voters spread over the zones that have replicas when one zone has none") {
  ZonedCluster cluster({"a", "a", "a", "b"}, 3, 3);
  cluster.network.startAll();
  CHECK(cluster.reachesSpread({{"a", 2}, {"b", 1}}));
}

TEST_CASE("an acknowledged change survives the loss of two of five zones") {
  ZonedCluster cluster({"a", "a", "b", "b", "c", "d", "e"}, 3, 5, GENERATE(1, 2), 2);
  cluster.network.startAll();
  REQUIRE(cluster.reachesSpread({{"a", 1}, {"b", 1}, {"c", 1}, {"d", 1}, {"e", 1}}));
  const auto change = cluster.beginChange(0, 1);
  REQUIRE(cluster.network.runUntil([&] { return *change; }));
  cluster.loseZone("a");
  cluster.loseZone("b");
  CHECK(cluster.read() == 1);
}

TEST_CASE("without tolerated zone losses no voter is replaced to improve the spread") {
  ZonedCluster cluster({"a", "a", "a", "b", "c"}, 3, 3, 1, 0);
  cluster.network.startAll();
  cluster.network.runFor(seconds(30));
  CHECK(cluster.spread() == VotersByZone{{"a", 3}});
}

TEST_CASE("no voter is replaced to improve the spread while another voter is down") {
  ZonedCluster cluster({"a", "a", "b", "c"}, 3, 3);
  for (std::size_t i = 0; i < 3; ++i) cluster.network.start(i);
  REQUIRE(cluster.reachesSpread({{"a", 2}, {"b", 1}}));
  cluster.network.runFor(milliseconds(500));
  cluster.network.crash(2);
  cluster.network.runFor(milliseconds(500));
  cluster.network.start(3);
  cluster.network.runFor(milliseconds(1'500));
  CHECK(cluster.spread() == VotersByZone{{"a", 2}, {"b", 1}});
  cluster.network.start(2);
  CHECK(cluster.reachesSpread({{"a", 1}, {"b", 1}, {"c", 1}}));
}

TEST_CASE("acknowledged changes survive the loss of a zone at any moment of a change") {
  const std::string lost = GENERATE("a", "b", "c");
  const Duration moment = milliseconds(GENERATE(0, 1, 2, 3, 4, 5, 6, 8, 10, 20));
  ZonedCluster cluster({"a", "a", "b", "b", "c", "c"}, 3, 3, GENERATE(1, 2));
  cluster.network.startAll();
  REQUIRE(cluster.reachesSpread({{"a", 1}, {"b", 1}, {"c", 1}}));
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

TEST_CASE("acknowledged changes survive the loss of a zone at any moment of a voter replacement") {
  const std::string lost = GENERATE("a", "b", "c", "d");
  const Duration moment = milliseconds(GENERATE(0, 1, 2, 3, 4, 5, 6, 8));
  ZonedCluster cluster({"a", "a", "b", "b", "c", "d"}, 3, 5, GENERATE(1, 2));
  for (std::size_t i = 0; i < 5; ++i) cluster.network.start(i);
  REQUIRE(cluster.reachesSpread({{"a", 2}, {"b", 2}, {"c", 1}}));
  const auto change = cluster.beginChange(0, 1);
  REQUIRE(cluster.network.runUntil([&] { return *change; }));
  cluster.network.start(5);
  REQUIRE(cluster.network.runUntil([&] { return consensus::isVoter(*cluster.membership(), 6); }));
  cluster.network.runFor(moment);
  cluster.loseZone(lost);
  CHECK(cluster.read() == 1);
}

// If the voter in the zone without power were replaced by a second voter in another zone, that zone would
// hold a majority of the voters and possibly the only copies of an acknowledged change.
TEST_CASE("acknowledged changes survive when one zone has no power and another one loses its disks") {
  const std::string without_disks = GENERATE("b", "c");
  ZonedCluster cluster({"a", "a", "b", "b", "c", "c"}, 3, 3, GENERATE(1, 2, 3));
  cluster.network.startAll();
  REQUIRE(cluster.reachesSpread({{"a", 1}, {"b", 1}, {"c", 1}}));
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

// Guards against spare voters that make the cluster depend on the zone without power.
TEST_CASE("with spare voters acknowledged changes survive a zone without power and a zone without disks") {
  const std::string without_disks = GENERATE("b", "c");
  ZonedCluster cluster({"a", "a", "b", "b", "c", "c"}, 3, 3, GENERATE(1, 2, 3));
  cluster.spare_voters = 2;
  for (std::size_t i = 0; i < 6; ++i) cluster.configureReplica(i, true);
  cluster.network.startAll();
  REQUIRE(cluster.network.runUntil([&] { return cluster.isSpread(3, 5); }));
  cluster.network.runFor(seconds(2));
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

TEST_CASE("a voter that is down for a long time is replaced by a learner of another zone") {
  ZonedCluster cluster({"a", "b", "c", "b"}, 3, 3);
  cluster.network.startAll();
  REQUIRE(cluster.reachesSpread({{"a", 1}, {"b", 1}, {"c", 1}}));
  cluster.loseZone("a");
  cluster.network.runFor(seconds(30));
  CHECK(cluster.spread() == VotersByZone{{"a", 1}, {"b", 1}, {"c", 1}});
  CHECK(cluster.reachesSpread({{"b", 2}, {"c", 1}}, seconds(40)));
}

TEST_CASE("a voter that is down is soon replaced by a learner of its own zone") {
  ZonedCluster cluster({"a", "b", "c", "a", "b"}, 3, 3);
  cluster.network.startAll();
  REQUIRE(cluster.reachesSpread({{"a", 1}, {"b", 1}, {"c", 1}}));
  cluster.network.crash(0);
  cluster.network.loseDisk(0);
  REQUIRE(cluster.network.runUntil(
      [&] {
        const auto current = cluster.membership();
        return current && current->replaced == 0 && consensus::findReplica(*current, 1) == nullptr;
      },
      seconds(6)));
  CHECK(cluster.spread() == VotersByZone{{"a", 1}, {"b", 1}, {"c", 1}});
}

TEST_CASE("a lost zone gets a voter again, after which another zone may be lost") {
  ZonedCluster cluster({"a", "a", "b", "b", "c", "c"}, 3, 3, GENERATE(1, 2, 3));
  cluster.network.startAll();
  REQUIRE(cluster.reachesSpread({{"a", 1}, {"b", 1}, {"c", 1}}));
  cluster.loseZone("a");
  cluster.network.runFor(seconds(8));
  REQUIRE(cluster.network.leader());
  const auto change = cluster.beginChange(0, 1);
  REQUIRE(cluster.network.runUntil([&] { return *change; }, seconds(5)));
  cluster.restoreZone("a");
  const VotersByZone expected{{"a", 1}, {"b", 1}, {"c", 1}};
  REQUIRE(cluster.network.runUntil([&] { return cluster.spread() == expected && cluster.allVotersRun(); }));
  cluster.network.runFor(milliseconds(200));
  cluster.loseZone(GENERATE("b", "c"));
  CHECK(cluster.read() == 1);
}

TEST_CASE("a voter that moves to another zone is replaced by a learner of its former zone") {
  ZonedCluster cluster({"a", "b", "c", "a", "b"}, 3, 3);
  cluster.network.startAll();
  REQUIRE(cluster.reachesSpread({{"a", 1}, {"b", 1}, {"c", 1}}));
  // The machine of zone a restarts in zone b with an empty disk.
  cluster.network.crash(0);
  cluster.network.loseDisk(0);
  cluster.network.options(0).self.id = 10;
  cluster.configureReplica(0, false);
  cluster.network.options(0).self.zone = "b";
  cluster.network.start(0);
  const VotersByZone expected{{"a", 1}, {"b", 1}, {"c", 1}};
  REQUIRE(cluster.network.runUntil([&] {
    const auto current = cluster.membership();
    return current && cluster.spread() == expected && consensus::findReplica(*current, 1) == nullptr;
  }));
}

}  // namespace cometstand::store::test

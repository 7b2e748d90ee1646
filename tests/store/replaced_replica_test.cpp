// Tests of the voters while replicas are stopped, replaced and lose their disks.
#include <catch2/catch.hpp>

#include "self_forming_cluster.h"

namespace cometstand::store::test {
namespace {

constexpr std::uint64_t kFirst = 5;
constexpr std::uint64_t kSecond = 6;

/// A cluster with a leader and one accepted change, to which a further replica may be added.
class ReplacementCluster : public SelfFormingCluster {
 public:
  explicit ReplacementCluster(std::uint64_t seed, std::size_t replicas = 4)
      : SelfFormingCluster(seed, replicas) {
    network.startAll();
    REQUIRE(electsLeader());
    REQUIRE(change(0, kFirst) == MeshAnswerKind::Done);
    network.runFor(seconds(1));
  }

  /// Starts a replica with an empty disk at a new address.
  std::size_t addSuccessor() {
    const auto index = network.addReplica(++last_id);
    configureReplica(index, false);
    network.start(index);
    return index;
  }

  /// @return the leader, or a voter that follows it.
  std::size_t pick(bool leads) {
    const auto leader = *network.leader();
    std::size_t index = 0;
    while (leads ? index != leader : (index == leader || !isVoter(index))) ++index;
    return index;
  }

  /// The replica that acknowledged the change loses its disk and starts again with an empty one.
  void loseAcknowledgingDisk() {
    const auto acknowledging = *network.leader();
    replaceDisk(acknowledging);
    network.runFor(milliseconds(500));
    network.start(acknowledging);
  }

  bool isReadBack(std::uint64_t revision) {
    if (!electsLeader(seconds(5))) return false;
    const auto answer = read(*network.leader());
    return answer.kind == MeshAnswerKind::Done && answer.revision == revision;
  }
};

}  // namespace

// Guards against a configuration that cannot be read any more because the ended process of a replaced replica
// is still a voter when the next disk is lost.
TEST_CASE("a disk lost after a planned replacement does not take the configuration", "[replacement]") {
  const auto replicas = GENERATE(std::size_t{3}, std::size_t{4});
  ReplacementCluster cluster(GENERATE(1, 2, 3), replicas);
  cluster.addSuccessor();
  cluster.network.runFor(seconds(5));
  const auto replaced = cluster.pick(GENERATE(true, false));
  REQUIRE(cluster.stop(replaced));
  REQUIRE(cluster.electsLeader());
  CHECK_FALSE(cluster.isVoter(replaced));
  REQUIRE(cluster.change(kFirst, kSecond) == MeshAnswerKind::Done);
  cluster.loseAcknowledgingDisk();
  REQUIRE(cluster.isReadBack(kSecond));
  CHECK(cluster.change(kSecond, kSecond + 1) == MeshAnswerKind::Done);
}

// Guards against the same loss if the replaced process ends without a signal.
TEST_CASE("a disk lost after an unplanned end beside a running successor does not take the configuration",
          "[replacement]") {
  ReplacementCluster cluster(GENERATE(1, 2, 3));
  cluster.addSuccessor();
  cluster.network.runFor(seconds(5));
  cluster.network.crash(cluster.pick(GENERATE(true, false)));
  cluster.network.runFor(GENERATE(Duration::zero(), Duration(milliseconds(700)), Duration(seconds(2))));
  REQUIRE(cluster.electsLeader());
  REQUIRE(cluster.change(kFirst, kSecond) == MeshAnswerKind::Done);
  cluster.loseAcknowledgingDisk();
  REQUIRE(cluster.isReadBack(kSecond));
  CHECK(cluster.change(kSecond, kSecond + 1) == MeshAnswerKind::Done);
}

// Guards against a removed leader whose silence each new leader counts from zero.
TEST_CASE("a replica that ended without a signal is replaced while its successor catches up",
          "[replacement]") {
  constexpr Duration kCatchUpTime = seconds(4);
  const auto replicas = GENERATE(std::size_t{3}, std::size_t{4});
  ReplacementCluster cluster(GENERATE(1, 2, 3, 4, 5, 6, 7, 8), replicas);
  cluster.network.crash(cluster.pick(GENERATE(true, false)));
  const auto successor = cluster.addSuccessor();
  cluster.network.runFor(kCatchUpTime - milliseconds(400));
  CHECK(cluster.voters().size() == kSeeds);
  CHECK((replicas > kSeeds || cluster.isVoter(successor)));
  cluster.network.runFor(milliseconds(400));
  REQUIRE(cluster.change(kFirst, kSecond) == MeshAnswerKind::Done);
  cluster.loseAcknowledgingDisk();
  REQUIRE(cluster.isReadBack(kSecond));
}

// Guards against votes that are left behind one by one by replacements in a row.
TEST_CASE("planned replacements in a row keep all votes with running replicas", "[replacement]") {
  ReplacementCluster cluster(GENERATE(1, 2, 3, 4));
  std::set<std::size_t> stopped;
  for (int round = 0; round < 4; ++round) {
    cluster.addSuccessor();
    cluster.network.runFor(seconds(4));
    const auto replaced = cluster.pick(round % 2 == 0);
    REQUIRE(cluster.stop(replaced));
    stopped.insert(replaced);
    REQUIRE(cluster.electsLeader());
    for (const auto index : stopped) CHECK_FALSE(cluster.isVoter(index));
    cluster.network.runFor(milliseconds(200));
  }
  REQUIRE(cluster.change(kFirst, kSecond) == MeshAnswerKind::Done);
  cluster.loseAcknowledgingDisk();
  CHECK(cluster.isReadBack(kSecond));
}

// Guards against an election timeout without a leader at each planned stop.
TEST_CASE("a stopping leader passes on leadership with its vote", "[replacement]") {
  ReplacementCluster cluster(GENERATE(1, 2, 3, 4), GENERATE(std::size_t{4}, std::size_t{5}));
  const auto leader = cluster.pick(true);
  cluster.network.beginStop(leader);
  REQUIRE(
      cluster.network.runUntil([&] { return cluster.network.core(leader).stopped(); }, milliseconds(300)));
  // A process ends once its last messages are delivered.
  cluster.network.runFor(milliseconds(2));
  cluster.network.crash(leader);
  CHECK(cluster.electsLeader(milliseconds(20)));
}

// Guards against a stop that waits although no other replica can take the vote.
TEST_CASE("a voter stops at once if there is no learner", "[replacement]") {
  ReplacementCluster cluster(1, kSeeds);
  const auto stopped = cluster.pick(GENERATE(true, false));
  CHECK(cluster.stop(stopped, milliseconds(200)));
  cluster.network.start(stopped);
  REQUIRE(cluster.electsLeader());
  CHECK(cluster.isVoter(stopped));
}

// Guards against a stop that ends while the only possible successor is still catching up.
TEST_CASE("a voter that stops right after its successor started waits until the successor has its vote",
          "[replacement]") {
  ReplacementCluster cluster(GENERATE(1, 2, 3), kSeeds);
  const auto successor = cluster.addSuccessor();
  cluster.network.runFor(milliseconds(150));
  REQUIRE(cluster.stop(cluster.pick(GENERATE(true, false))));
  REQUIRE(cluster.electsLeader());
  CHECK(cluster.isVoter(successor));
}

// Guards against votes that move to replicas which are stopping themselves, and against stops without an end.
TEST_CASE("a planned stop of all replicas ends in time and keeps the configuration", "[replacement]") {
  const auto replicas = GENERATE(std::size_t{3}, std::size_t{4}, std::size_t{5}, std::size_t{6});
  ReplacementCluster cluster(GENERATE(1, 2, 3, 4, 5), replicas);
  for (std::size_t i = 0; i < replicas; ++i) cluster.network.beginStop(i);
  const auto have_all_stopped = [&] {
    for (std::size_t i = 0; i < replicas; ++i) {
      if (cluster.network.isRunning(i) && cluster.network.core(i).stopped()) cluster.network.crash(i);
    }
    for (std::size_t i = 0; i < replicas; ++i) {
      if (cluster.network.isRunning(i)) return false;
    }
    return true;
  };
  REQUIRE(cluster.network.runUntil(have_all_stopped, seconds(4)));
  for (std::size_t i = 0; i < replicas; ++i) {
    cluster.configureReplica(i, false);
    cluster.network.start(i);
  }
  REQUIRE(cluster.isReadBack(kFirst));
  CHECK(cluster.change(kFirst, kSecond) == MeshAnswerKind::Done);
}

// Guards against a roll of all replicas that leaves too few voters, or replicas that stay outside for long.
TEST_CASE("a restart of all replicas in turn keeps three running voters", "[replacement]") {
  ReplacementCluster cluster(GENERATE(1, 2, 3, 4, 5));
  for (std::size_t i = 0; i < 4; ++i) {
    REQUIRE(cluster.stop(i));
    cluster.network.runFor(milliseconds(500));
    REQUIRE(cluster.electsLeader());
    CHECK(cluster.voters().size() == kSeeds);
    CHECK_FALSE(cluster.isVoter(i));
    cluster.configureReplica(i, false);
    cluster.network.start(i);
    REQUIRE(cluster.network.runUntil([&] { return cluster.network.core(i).leadership().leader != 0; },
                                     milliseconds(600)));
    cluster.network.runFor(milliseconds(300));
  }
  REQUIRE(cluster.change(kFirst, kSecond) == MeshAnswerKind::Done);
  cluster.loseAcknowledgingDisk();
  CHECK(cluster.isReadBack(kSecond));
}

// Guards against votes that two stopping replicas give to each other or lose.
TEST_CASE("two replicas that stop at once both give up their votes if there are two learners",
          "[replacement]") {
  ReplacementCluster cluster(GENERATE(1, 2, 3, 4, 5), 5);
  const auto leader = cluster.pick(true);
  const auto follower = cluster.pick(false);
  cluster.network.beginStop(leader);
  cluster.network.beginStop(follower);
  REQUIRE(cluster.network.runUntil(
      [&] { return cluster.network.core(leader).stopped() && cluster.network.core(follower).stopped(); },
      seconds(4)));
  cluster.network.crash(leader);
  cluster.network.crash(follower);
  REQUIRE(cluster.electsLeader());
  cluster.network.runFor(seconds(1));
  CHECK(cluster.voters().size() == kSeeds);
  CHECK_FALSE(cluster.isVoter(leader));
  CHECK_FALSE(cluster.isVoter(follower));
}

// Guards against an even number of voters, or one that a missing replica is part of for good.
TEST_CASE("the number of voters follows the number of running replicas", "[replacement]") {
  ReplacementCluster cluster(GENERATE(1, 2, 3, 4));
  CHECK(cluster.voters().size() == kSeeds);
  cluster.addSuccessor();
  REQUIRE(cluster.network.runUntil([&] { return cluster.voters().size() == kSeeds + 2; }, seconds(2)));
  const auto ended = cluster.pick(GENERATE(true, false));
  cluster.network.crash(ended);
  REQUIRE(cluster.network.runUntil(
      [&] { return cluster.voters().size() == kSeeds && !cluster.isVoter(ended); }, seconds(6)));
  cluster.network.runFor(seconds(2));
  CHECK(cluster.voters().size() == kSeeds);
}

// Guards against a cut to the leader that makes a planned stop exceed its time limit.
TEST_CASE("a voter that reaches no leader stops within the time limit", "[replacement]") {
  ReplacementCluster cluster(GENERATE(1, 2));
  const auto stopped = cluster.pick(GENERATE(true, false));
  cluster.network.cut(stopped);
  cluster.network.runFor(GENERATE(Duration::zero(), Duration(seconds(1))));
  CHECK(cluster.stop(stopped, seconds(3)));
}

}  // namespace cometstand::store::test

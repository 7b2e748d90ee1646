#include <catch2/catch.hpp>

#include <algorithm>

#include "base/error.h"
#include "simulated_cluster.h"
#include "single_replica_harness.h"

namespace cometstand::consensus {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::vector<ReplicaId> voters(const Consensus& consensus) {
  std::vector<ReplicaId> result;
  for (const auto& voter : consensus.membership().voters) result.push_back(voter->id);
  std::sort(result.begin(), result.end());
  return result;
}

/// Starts an empty replica, adds it as a learner and waits until it has applied the log.
void addLearner(SimulatedCluster& cluster, ReplicaId leader, ReplicaId id) {
  cluster.start(id);
  cluster.change(leader, MembershipChangeKind::AddLearner, id);
  REQUIRE(cluster.commitOnAll({leader, id}));
  cluster.runFor(milliseconds(200));
}

/// Runs until all listed replicas have committed a membership with exactly these voters.
/// @return false on timeout.
bool waitForVoters(SimulatedCluster& cluster, const std::vector<ReplicaId>& expected_voters) {
  return cluster.runUntil([&] {
    return std::all_of(expected_voters.begin(), expected_voters.end(), [&](ReplicaId id) {
      const auto& consensus = cluster.consensus(id);
      return voters(consensus) == expected_voters && consensus.commitIndex() == consensus.lastIndex();
    });
  });
}

}  // namespace

TEST_CASE("a learner receives the log and does not count towards the quorum") {
  SimulatedCluster cluster(3, 1);
  const ReplicaId leader = cluster.waitForLeader();
  addLearner(cluster, leader, 4);
  for (const ReplicaId id : {1, 2, 3}) {
    if (id != leader) cluster.crash(id);
  }
  const LogIndex before = cluster.checker().lastApplied();
  cluster.propose(leader);
  cluster.runFor(seconds(3));
  CHECK(cluster.checker().lastApplied() == before);
  CHECK(cluster.at(4).leadership.role == Role::Follower);
}

// Guards against a learner that keeps reporting its last known leader while it is partitioned from it. In
// rehearsal/days/wipe_while_cut.toml, a store that had become a learner did so, and the nodes that received
// their configurations from it missed changes.
TEST_CASE("a partitioned learner reports no leader until it receives messages from a leader again") {
  SimulatedCluster cluster(3, 1);
  const ReplicaId leader = cluster.waitForLeader();
  addLearner(cluster, leader, 4);
  REQUIRE(cluster.consensus(4).leadership().leader == leader);
  cluster.isolate(4);
  cluster.runFor(2 * SimulatedCluster::testOptions().election_timeout_max);
  CHECK(cluster.consensus(4).leadership().leader == 0);
  CHECK(cluster.consensus(4).leadership().role == Role::Follower);
  cluster.heal();
  CHECK(cluster.runUntil([&] { return cluster.consensus(4).leadership().leader != 0; }));
  CHECK(cluster.consensus(4).leadership().term == cluster.consensus(leader).leadership().term);
}

// Guards against a demoted voter that still counts towards the quorum or starts elections.
TEST_CASE("a demoted voter is a learner and can become a voter again") {
  SimulatedCluster cluster(5, 3);
  const ReplicaId leader = cluster.waitForLeader();
  REQUIRE(cluster.commitOnAll(cluster.ids()));
  const ReplicaId demoted = leader % 5 + 1;
  cluster.change(leader, MembershipChangeKind::DemoteVoter, demoted);
  REQUIRE(cluster.commitOnAll(cluster.ids()));
  CHECK(voters(cluster.consensus(demoted)).size() == 4);
  CHECK(isLearner(cluster.consensus(demoted).membership(), demoted));
  for (const ReplicaId id : cluster.ids()) {
    if (id != demoted && id != leader) cluster.isolate(id);
  }
  cluster.runFor(seconds(3));
  CHECK(cluster.consensus(demoted).leadership().role == Role::Follower);
  CHECK(cluster.consensus(leader).leadership().role != Role::Leader);
  cluster.heal();
  const ReplicaId next = cluster.waitForLeader();
  REQUIRE(cluster.commitOnAll(cluster.ids()));
  cluster.change(next, MembershipChangeKind::PromoteLearner, demoted);
  REQUIRE(cluster.commitOnAll(cluster.ids()));
  CHECK(voters(cluster.consensus(demoted)).size() == 5);
}

TEST_CASE("a learner can replace a voter only after it has caught up") {
  SimulatedCluster cluster(3, 2);
  const ReplicaId leader = cluster.waitForLeader();
  cluster.start(4);
  cluster.isolate(4);
  cluster.change(leader, MembershipChangeKind::AddLearner, 4);
  cluster.runFor(milliseconds(200));
  const ReplicaId lost = leader % 3 + 1;
  try {
    cluster.change(leader, MembershipChangeKind::ReplaceVoter, 4, lost);
    FAIL("an empty learner became a voter");
  } catch (const Error& error) {
    CHECK(error.kind() == ErrorKind::Conflict);
    CHECK(error.remedy().find("wait") != std::string::npos);
  }
}

TEST_CASE("after a lost voter is replaced, the cluster tolerates the loss of a second one") {
  SimulatedCluster cluster(3, 3);
  ReplicaId leader = cluster.waitForLeader();
  REQUIRE(cluster.commitOnAll(cluster.ids()));
  const ReplicaId lost = leader % 3 + 1;
  const ReplicaId second = 6 - leader - lost;
  cluster.crash(lost);
  cluster.at(lost).disk.erase();
  addLearner(cluster, leader, 4);
  cluster.change(leader, MembershipChangeKind::ReplaceVoter, 4, lost);
  std::vector<ReplicaId> expected_voters{leader, second, 4};
  std::sort(expected_voters.begin(), expected_voters.end());
  REQUIRE(waitForVoters(cluster, expected_voters));
  const ReplicaId next = GENERATE(0, 1) == 0 ? leader : second;
  cluster.crash(next);
  cluster.at(next).disk.erase();
  const ReplicaId survivor = leader + second - next;
  REQUIRE(cluster.waitForLeader() != 0);
  CHECK(cluster.commitOnAll({survivor, 4}));
}

TEST_CASE("the next leader completes the replacement of a voter") {
  SimulatedCluster cluster(5, 4);
  const ReplicaId leader = cluster.waitForLeader();
  const ReplicaId lost = leader % 5 + 1;
  cluster.crash(lost);
  cluster.at(lost).disk.erase();
  addLearner(cluster, leader, 6);
  const LogIndex promotion = cluster.change(leader, MembershipChangeKind::ReplaceVoter, 6, lost);
  REQUIRE(cluster.runUntil([&] {
    const auto has_promotion = [&](ReplicaId id) {
      return cluster.isUp(id) && cluster.consensus(id).lastIndex() >= promotion;
    };
    const auto ids = cluster.ids();
    return std::count_if(ids.begin(), ids.end(), has_promotion) >= 5;
  }));
  REQUIRE(cluster.consensus(leader).lastIndex() == promotion);
  cluster.crash(leader);
  cluster.waitForLeader();
  cluster.start(leader);
  std::vector<ReplicaId> expected_voters{1, 2, 3, 4, 5, 6};
  std::erase(expected_voters, lost);
  CHECK(waitForVoters(cluster, expected_voters));
}

TEST_CASE("another leader is elected after the leader is removed from the membership") {
  SimulatedCluster cluster(3, 5);
  const ReplicaId leader = cluster.waitForLeader();
  cluster.change(leader, MembershipChangeKind::RemoveReplica, leader);
  const ReplicaId next = cluster.waitForLeader(leader);
  REQUIRE(next != 0);
  CHECK(voters(cluster.consensus(next)).size() == 2);
  CHECK(cluster.at(leader).leadership.role != Role::Leader);
}

TEST_CASE("a membership change is rejected while another one is in progress") {
  SimulatedCluster cluster(3, 6);
  const ReplicaId leader = cluster.waitForLeader();
  REQUIRE(cluster.commitOnAll(cluster.ids()));
  cluster.change(leader, MembershipChangeKind::AddLearner, 4);
  try {
    cluster.change(leader, MembershipChangeKind::AddLearner, 5);
    FAIL("a second concurrent membership change was accepted");
  } catch (const Error& error) {
    CHECK(error.kind() == ErrorKind::Conflict);
  }
}

TEST_CASE("a new leader rejects membership changes until it has committed an entry of its term") {
  SingleReplicaHarness replica;
  replica.becomeLeader();
  MembershipChange change;
  change.replica.id = 4;
  try {
    replica->changeMembership(change, replica.now);
    FAIL("a membership change was accepted while one of an earlier leader may be in progress");
  } catch (const Error& error) {
    CHECK(error.kind() == ErrorKind::Unavailable);
  }
  replica.receiveAck(2, 2, 1);
  CHECK(replica->changeMembership(change, replica.now) == 3);
}

TEST_CASE("votes and acknowledgements with an incarnation other than the voter's are ignored") {
  SingleReplicaHarness replica;
  SECTION("votes") {
    replica.expireNextTimer();
    replica.receiveVote(2, 2, true);
    replica.peer_incarnation = 77;
    replica.receiveVote(2, 2, false);
    CHECK(replica->leadership().role == Role::Candidate);
  }
  SECTION("acknowledgements") {
    replica.becomeLeader();
    replica.peer_incarnation = 77;
    replica.receiveAck(2, 2, 1);
    CHECK(replica->commitIndex() == 0);
  }
}

TEST_CASE("a replica that restarts with an empty data folder under its old id does not participate") {
  SimulatedCluster cluster(3, 7);
  const ReplicaId leader = cluster.waitForLeader();
  REQUIRE(cluster.commitOnAll(cluster.ids()));
  const ReplicaId lost = leader % 3 + 1;
  cluster.crash(lost);
  cluster.at(lost).disk.erase();
  cluster.crash(6 - leader - lost);
  std::size_t sent = 0;
  cluster.on_send = [&](const wire::ConsensusMessageT& message) { sent += message.from == lost; };
  cluster.start(lost);
  const LogIndex before = cluster.checker().lastApplied();
  cluster.propose(leader);
  cluster.runFor(seconds(10));
  CHECK(sent == 0);
  CHECK(cluster.checker().lastApplied() == before);
  CHECK(cluster.consensus(lost).leadership().role == Role::Joining);
}

TEST_CASE("a replica stops participating after a disk failure") {
  SimulatedCluster cluster(3, 8);
  const ReplicaId leader = cluster.waitForLeader();
  REQUIRE(cluster.commitOnAll(cluster.ids()));
  const ReadRequestId ticket = cluster.requestRead(leader);
  cluster.failDisk(leader);
  CHECK(cluster.at(leader).leadership.role == Role::Failed);
  CHECK_FALSE(cluster.at(leader).reads.at(ticket).confirmed);
  CHECK_FALSE(cluster.propose(leader));
  std::size_t sent = 0;
  cluster.on_send = [&](const wire::ConsensusMessageT& message) { sent += message.from == leader; };
  const ReplicaId next = cluster.waitForLeader(leader);
  REQUIRE(next != 0);
  CHECK(cluster.commitOnAll({next}));
  CHECK(sent == 0);
}

}  // namespace cometstand::consensus

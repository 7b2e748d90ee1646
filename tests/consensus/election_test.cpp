#include <algorithm>
#include <catch2/catch.hpp>

#include "base/error.h"
#include "simulated_cluster.h"
#include "single_replica_harness.h"

namespace cometstand::consensus {

using std::chrono::milliseconds;
using std::chrono::seconds;
using wire::ConsensusBodyUnion;

TEST_CASE("a replica that was partitioned does not increment the term") {
  SimulatedCluster cluster(3, 1);
  const ReplicaId leader = cluster.waitForLeader();
  const Term term = cluster.at(leader).leadership.term;
  const ReplicaId other = leader % 3 + 1;
  SECTION("no messages in either direction") { cluster.isolate(other); }
  SECTION("its messages arrive, but it receives none") {
    for (const ReplicaId id : cluster.ids()) cluster.blockLink(id, other);
  }
  SECTION("it receives messages from all replicas but the leader") { cluster.blockLink(leader, other); }
  cluster.runFor(seconds(10));
  cluster.heal();
  cluster.runFor(seconds(2));
  CHECK(cluster.at(leader).leadership.role == Role::Leader);
  CHECK(cluster.at(other).leadership.term == term);
  CHECK(cluster.commitOnAll(cluster.ids()));
}

TEST_CASE("a voter in recent contact with a leader ignores vote requests of a newer term") {
  SingleReplicaHarness replica;
  wire::AppendRequestT heartbeat;
  heartbeat.term = 5;
  heartbeat.leader = 2;
  replica.receive(2, heartbeat);
  replica.sent.clear();
  wire::VoteRequestT request;
  request.term = 9;
  request.candidate = 3;
  request.last_log_index = 100;
  request.last_log_term = 8;
  replica.receive(3, request);
  CHECK(replica->leadership().term == 5);
  CHECK(replica.takeSent(&ConsensusBodyUnion::AsVoteReply).empty());
  SECTION("grants the vote if the request is part of a leadership transfer") {
    request.transfer = true;
    replica.receive(3, request);
    CHECK(replica.takeSent(&ConsensusBodyUnion::AsVoteReply).at(0).granted);
  }
  SECTION("grants the vote after an election timeout without contact") {
    replica.now += SimulatedCluster::testOptions().election_timeout_min;
    replica.receive(3, request);
    CHECK(replica.takeSent(&ConsensusBodyUnion::AsVoteReply).at(0).granted);
  }
}

TEST_CASE("a vote is synced before the reply is sent") {
  SingleReplicaHarness replica;
  replica.disk.is_blocked = true;
  wire::VoteRequestT request;
  request.term = 2;
  request.candidate = 3;
  request.last_log_index = 1;
  request.last_log_term = 1;
  replica.receive(3, request);
  CHECK(replica.takeSent(&ConsensusBodyUnion::AsVoteReply).empty());
  SECTION("the reply is sent after the sync") {
    replica.disk.is_blocked = false;
    replica.runUntilIdle();
    CHECK(replica.takeSent(&ConsensusBodyUnion::AsVoteReply).at(0).granted);
  }
  SECTION("after a restart no vote is granted to another candidate in the same term") {
    replica.disk.is_blocked = false;
    replica.runUntilIdle();
    Consensus restarted(
        SimulatedCluster::testOptions(),
        [] {
          wire::ReplicaT self;
          self.id = 1;
          return self;
        }(),
        RandomSource(2));
    restarted.recover(replica.disk, replica.now);
    CHECK(restarted.leadership().term == 2);
    wire::ConsensusMessageT message;
    message.from = 2;
    message.to = 1;
    request.candidate = 2;
    message.body.Set(request);
    restarted.onMessage(message, replica.now);
    CHECK_FALSE(restarted.takeOutput().messages.at(0).body.AsVoteReply()->granted);
  }
}

TEST_CASE("a candidate's own vote is synced before vote requests are sent and before it is counted") {
  SingleReplicaHarness replica;
  replica.expireNextTimer();
  replica.sent.clear();
  replica.disk.is_blocked = true;
  replica.receiveVote(2, 2, true);
  CHECK(replica->leadership().role == Role::Candidate);
  CHECK(replica.takeSent(&ConsensusBodyUnion::AsVoteRequest).empty());
  replica.receiveVote(2, 2, false);
  CHECK(replica->leadership().role == Role::Candidate);
  replica.disk.is_blocked = false;
  replica.runUntilIdle();
  CHECK(replica->leadership().role == Role::Leader);
}

TEST_CASE("a candidate whose log is less up-to-date gets no vote") {
  SimulatedCluster cluster(3, 2);
  const ReplicaId leader = cluster.waitForLeader();
  const ReplicaId behind = leader % 3 + 1;
  cluster.isolate(behind);
  REQUIRE(cluster.commitEntries(leader, 10));
  cluster.crash(leader);
  cluster.heal();
  cluster.runFor(seconds(5));
  CHECK(cluster.at(behind).leadership.role == Role::Follower);
  CHECK(cluster.waitForLeader() == 6 - leader - behind);
}

TEST_CASE("only entries of the leader's current term are committed by counting replicas") {
  SingleReplicaHarness replica;
  wire::AppendRequestT request;
  request.term = 2;
  request.leader = 2;
  request.previous_index = 1;
  request.previous_term = 1;
  wire::LogEntryT entry;
  entry.term = 2;
  entry.index = 2;
  request.entries.push_back(std::make_shared<wire::LogEntryT>(entry));
  replica.receive(2, request);
  replica.becomeLeader();
  REQUIRE(replica->leadership().role == Role::Leader);
  replica.receiveAck(2, 2, 1);
  // A later leader may still replace entry 2 (figure 8 of the paper).
  CHECK(replica->commitIndex() == 0);
  replica.receiveAck(2, 3, 1);
  CHECK(replica->commitIndex() == 3);
}

TEST_CASE("a replica counts towards the commit quorum of an entry only after syncing it") {
  SimulatedCluster cluster(3, 3);
  const ReplicaId leader = cluster.waitForLeader();
  REQUIRE(cluster.commitOnAll(cluster.ids()));
  const LogIndex before = cluster.checker().lastApplied();
  const ReplicaId other = leader % 3 + 1;
  SECTION("neither follower has synced it") {
    for (const ReplicaId id : cluster.ids()) cluster.holdDisk(id, id != leader);
  }
  SECTION("the leader and one follower have not synced it") {
    cluster.holdDisk(leader, true);
    cluster.holdDisk(other, true);
  }
  REQUIRE(cluster.propose(leader));
  cluster.runFor(milliseconds(200));
  CHECK(cluster.checker().lastApplied() == before);
  for (const ReplicaId id : cluster.ids()) cluster.holdDisk(id, false);
  CHECK(cluster.commitOnAll(cluster.ids()));
}

TEST_CASE("a leader without contact to a quorum steps down") {
  SimulatedCluster cluster(3, 4);
  const ReplicaId leader = cluster.waitForLeader();
  const Term term = cluster.at(leader).leadership.term;
  SECTION("partitioned in both directions") {
    cluster.isolate(leader);
    const ReadRequestId ticket = cluster.requestRead(leader);
    cluster.runFor(seconds(1));
    CHECK(cluster.at(leader).leadership.role != Role::Leader);
    CHECK(cluster.at(leader).leadership.term == term);
    CHECK_FALSE(cluster.at(leader).reads.at(ticket).confirmed);
  }
  SECTION("its messages arrive, but it receives none") {
    for (const ReplicaId id : cluster.ids()) cluster.blockLink(id, leader);
    cluster.runFor(seconds(1));
    CHECK(cluster.at(leader).leadership.role != Role::Leader);
  }
  SECTION("suspended: steps down at the first event, before it handles a read or a proposal") {
    cluster.suspend(leader, seconds(5));
    REQUIRE(cluster.waitForLeader(leader) != 0);
    cluster.runFor(seconds(1));
    cluster.at(leader).suspended_until = {};
    CHECK(cluster.consensus(leader).leadership().role == Role::Leader);
    const ReadRequestId ticket = cluster.requestRead(leader);
    CHECK_FALSE(cluster.at(leader).reads.at(ticket).confirmed);
    CHECK_FALSE(cluster.propose(leader));
  }
  SECTION(
      "resumed before its quorum contact expires, after another leader was elected: a read is not "
      "confirmed") {
    cluster.suspend(leader, seconds(5));
    REQUIRE(cluster.waitForLeader(leader) != 0);
    cluster.at(leader).suspended_until = {};
    const ReadRequestId ticket = cluster.requestRead(leader);
    cluster.runFor(seconds(1));
    CHECK_FALSE(cluster.at(leader).reads.at(ticket).confirmed);
  }
  SECTION("suspended with old replies queued: they do not count as contact") {
    cluster.suspend(leader, seconds(5));
    cluster.runFor(seconds(5));
    cluster.runUntil([&] { return cluster.at(leader).leadership.role != Role::Leader; }, milliseconds(1));
    CHECK(cluster.at(leader).leadership.role != Role::Leader);
  }
  cluster.heal();
  CHECK(cluster.commitOnAll(cluster.ids()));
}

TEST_CASE("leadership transfer") {
  SimulatedCluster cluster(3, 5);
  const ReplicaId leader = cluster.waitForLeader();
  const ReplicaId target = leader % 3 + 1;
  REQUIRE(cluster.propose(leader));
  SECTION("a running voter becomes leader without an election timeout") {
    cluster.transfer(leader, target);
    CHECK_FALSE(cluster.propose(leader));
    cluster.runFor(milliseconds(100));
    CHECK(cluster.at(target).leadership.role == Role::Leader);
    CHECK(cluster.commitOnAll(cluster.ids()));
  }
  SECTION("if the target is down, the leader accepts proposals again") {
    cluster.crash(target);
    cluster.transfer(leader, target);
    CHECK_FALSE(cluster.propose(leader));
    cluster.runFor(seconds(1));
    CHECK(cluster.propose(leader));
  }
  SECTION("a target that is not a voter is refused") { CHECK_THROWS_AS(cluster.transfer(leader, 9), Error); }
}

TEST_CASE("a read is confirmed by a heartbeat round that begins after the request") {
  SingleReplicaHarness replica;
  replica.becomeLeader();
  SECTION("not before an entry of the leader's term is committed") {
    replica->requestRead(ReadRequestId{7}, replica.now);
    replica.receiveAck(2, 1, 1);
    replica.receiveAck(2, 1, 2);
    CHECK(replica.reads.empty());
    replica.receiveAck(2, 2, 2);
    CHECK(replica.reads.at(0).confirmed);
    CHECK(replica.reads.at(0).read_index == 2);
  }
  SECTION("a reply to an earlier round does not count") {
    replica.receiveAck(2, 2, 1);
    replica->onTimer(replica.now += SimulatedCluster::testOptions().heartbeat_interval);
    replica.runUntilIdle();
    // Round 2 is sent but not acknowledged.
    replica->requestRead(ReadRequestId{7}, replica.now);
    replica.runUntilIdle();
    replica.receiveAck(2, 2, 2);
    CHECK(replica.reads.empty());
    replica.receiveAck(3, 2, 3);
    CHECK(replica.reads.at(0).confirmed);
  }
  SECTION("a leader that steps down does not confirm pending reads") {
    replica->requestRead(ReadRequestId{7}, replica.now);
    wire::AppendRequestT newer_heartbeat;
    newer_heartbeat.term = 9;
    newer_heartbeat.leader = 3;
    replica.receive(3, newer_heartbeat);
    CHECK_FALSE(replica.reads.at(0).confirmed);
  }
}

TEST_CASE("after a restart of all replicas a leader is elected within the minimum election timeout") {
  SimulatedCluster cluster(3, GENERATE(1, 2, 3, 4, 5));
  cluster.waitForLeader();
  for (const ReplicaId id : cluster.ids()) cluster.crash(id);
  for (const ReplicaId id : cluster.ids()) cluster.start(id);
  const auto has_leader = [&cluster] {
    const auto ids = cluster.ids();
    return std::any_of(ids.begin(), ids.end(),
                       [&](ReplicaId id) { return cluster.at(id).leadership.role == Role::Leader; });
  };
  CHECK(cluster.runUntil(has_leader, SimulatedCluster::testOptions().election_timeout_min));
}

TEST_CASE("a replica that restarts does not disrupt the current leader") {
  SimulatedCluster cluster(3, GENERATE(1, 2, 3));
  const ReplicaId leader = cluster.waitForLeader();
  const Term term = cluster.at(leader).leadership.term;
  const ReplicaId other = leader % 3 + 1;
  for (int i = 0; i < 5; ++i) {
    cluster.crash(other);
    cluster.start(other);
    cluster.runFor(milliseconds(400));
  }
  CHECK(cluster.at(leader).leadership.role == Role::Leader);
  CHECK(cluster.at(leader).leadership.term == term);
}

}  // namespace cometstand::consensus

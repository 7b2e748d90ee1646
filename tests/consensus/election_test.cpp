#include <algorithm>
#include <catch2/catch.hpp>

#include "base/error.h"
#include "simulated_cluster.h"
#include "solo_replica.h"

namespace cometstand::consensus {

using std::chrono::milliseconds;
using std::chrono::seconds;
using wire::ConsensusBodyUnion;

TEST_CASE("a replica that was cut off does not raise the term") {
  SimulatedCluster cluster(3, 1);
  const ReplicaId leader = cluster.waitForLeader();
  const Term term = cluster.at(leader).leadership.term;
  const ReplicaId other = leader % 3 + 1;
  SECTION("both ways") { cluster.isolate(other); }
  SECTION("it is heard, but hears nobody") {
    for (const ReplicaId id : cluster.ids()) cluster.cut(id, other);
  }
  SECTION("it hears everybody but the leader") { cluster.cut(leader, other); }
  cluster.runFor(seconds(10));
  cluster.heal();
  cluster.runFor(seconds(2));
  CHECK(cluster.at(leader).leadership.role == Role::Leader);
  CHECK(cluster.at(other).leadership.term == term);
  CHECK(cluster.commitEverywhere(cluster.ids()));
}

TEST_CASE("a voter that hears its leader refuses a vote for a newer term") {
  SoloReplica replica;
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
  SECTION("but not if the leader hands over") {
    request.transfer = true;
    replica.receive(3, request);
    CHECK(replica.takeSent(&ConsensusBodyUnion::AsVoteReply).at(0).granted);
  }
  SECTION("nor once it heard nothing for the election timeout") {
    replica.now += SimulatedCluster::testOptions().election_timeout_min;
    replica.receive(3, request);
    CHECK(replica.takeSent(&ConsensusBodyUnion::AsVoteReply).at(0).granted);
  }
}

TEST_CASE("a vote is synced before it is told") {
  SoloReplica replica;
  replica.disk.held = true;
  wire::VoteRequestT request;
  request.term = 2;
  request.candidate = 3;
  request.last_log_index = 1;
  request.last_log_term = 1;
  replica.receive(3, request);
  CHECK(replica.takeSent(&ConsensusBodyUnion::AsVoteReply).empty());
  SECTION("and told once it is synced") {
    replica.disk.held = false;
    replica.settle();
    CHECK(replica.takeSent(&ConsensusBodyUnion::AsVoteReply).at(0).granted);
  }
  SECTION("and after a crash it is not given to another candidate") {
    replica.disk.held = false;
    replica.settle();
    Consensus again(
        SimulatedCluster::testOptions(),
        [] {
          wire::ReplicaT self;
          self.id = 1;
          return self;
        }(),
        RandomSource(2));
    again.recover(replica.disk, replica.now);
    CHECK(again.leadership().term == 2);
    wire::ConsensusMessageT message;
    message.from = 2;
    message.to = 1;
    request.candidate = 2;
    message.body.Set(request);
    again.onMessage(message, replica.now);
    CHECK_FALSE(again.takeOutput().messages.at(0).body.AsVoteReply()->granted);
  }
}

TEST_CASE("a candidate's own vote is synced before it asks others and before it counts") {
  SoloReplica replica;
  replica.timeOut();
  replica.sent.clear();
  replica.disk.held = true;
  replica.receiveVote(2, 2, true);
  CHECK(replica->leadership().role == Role::Candidate);
  CHECK(replica.takeSent(&ConsensusBodyUnion::AsVoteRequest).empty());
  replica.receiveVote(2, 2, false);
  CHECK(replica->leadership().role == Role::Candidate);
  replica.disk.held = false;
  replica.settle();
  CHECK(replica->leadership().role == Role::Leader);
}

TEST_CASE("a candidate with an older log gets no vote") {
  SimulatedCluster cluster(3, 2);
  const ReplicaId leader = cluster.waitForLeader();
  const ReplicaId behind = leader % 3 + 1;
  cluster.isolate(behind);
  REQUIRE(cluster.commitMany(leader, 10));
  cluster.crash(leader);
  cluster.heal();
  cluster.runFor(seconds(5));
  CHECK(cluster.at(behind).leadership.role == Role::Follower);
  CHECK(cluster.waitForLeader() == 6 - leader - behind);
}

TEST_CASE("only entries of the leader's own term are committed by counting") {
  SoloReplica replica;
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
  // Figure 8 of the paper: a later leader may still replace entry 2.
  CHECK(replica->commitIndex() == 0);
  replica.receiveAck(2, 3, 1);
  CHECK(replica->commitIndex() == 3);
}

TEST_CASE("an entry counts on a replica only once it is synced there") {
  SimulatedCluster cluster(3, 3);
  const ReplicaId leader = cluster.waitForLeader();
  REQUIRE(cluster.commitEverywhere(cluster.ids()));
  const LogIndex before = cluster.checker().lastApplied();
  const ReplicaId other = leader % 3 + 1;
  SECTION("not on two followers") {
    for (const ReplicaId id : cluster.ids()) cluster.holdDisk(id, id != leader);
  }
  SECTION("not on the leader and a follower") {
    cluster.holdDisk(leader, true);
    cluster.holdDisk(other, true);
  }
  REQUIRE(cluster.propose(leader));
  cluster.runFor(milliseconds(200));
  CHECK(cluster.checker().lastApplied() == before);
  for (const ReplicaId id : cluster.ids()) cluster.holdDisk(id, false);
  CHECK(cluster.commitEverywhere(cluster.ids()));
}

TEST_CASE("a leader that reaches no quorum steps down") {
  SimulatedCluster cluster(3, 4);
  const ReplicaId leader = cluster.waitForLeader();
  const Term term = cluster.at(leader).leadership.term;
  SECTION("cut off") {
    cluster.isolate(leader);
    const ReadTicket ticket = cluster.requestRead(leader);
    cluster.runFor(seconds(1));
    CHECK(cluster.at(leader).leadership.role != Role::Leader);
    CHECK(cluster.at(leader).leadership.term == term);
    CHECK_FALSE(cluster.at(leader).reads.at(ticket).confirmed);
  }
  SECTION("it is heard, but hears nobody") {
    for (const ReplicaId id : cluster.ids()) cluster.cut(id, leader);
    cluster.runFor(seconds(1));
    CHECK(cluster.at(leader).leadership.role != Role::Leader);
  }
  SECTION("frozen: at its first event, before it answers anything") {
    cluster.freeze(leader, seconds(5));
    REQUIRE(cluster.waitForLeader(leader) != 0);
    cluster.runFor(seconds(1));
    cluster.at(leader).frozen_until = {};
    CHECK(cluster.consensus(leader).leadership().role == Role::Leader);
    const ReadTicket ticket = cluster.requestRead(leader);
    CHECK_FALSE(cluster.at(leader).reads.at(ticket).confirmed);
    CHECK_FALSE(cluster.propose(leader));
  }
  SECTION("frozen for less than its limit, yet another leads: the read is not confirmed") {
    cluster.freeze(leader, seconds(5));
    REQUIRE(cluster.waitForLeader(leader) != 0);
    cluster.at(leader).frozen_until = {};
    const ReadTicket ticket = cluster.requestRead(leader);
    cluster.runFor(seconds(1));
    CHECK_FALSE(cluster.at(leader).reads.at(ticket).confirmed);
  }
  SECTION("frozen, with answers from before waiting for it") {
    cluster.freeze(leader, seconds(5));
    cluster.runFor(seconds(5));
    cluster.runUntil([&] { return cluster.at(leader).leadership.role != Role::Leader; }, milliseconds(1));
    CHECK(cluster.at(leader).leadership.role != Role::Leader);
  }
  cluster.heal();
  CHECK(cluster.commitEverywhere(cluster.ids()));
}

TEST_CASE("leadership is handed over") {
  SimulatedCluster cluster(3, 5);
  const ReplicaId leader = cluster.waitForLeader();
  const ReplicaId target = leader % 3 + 1;
  REQUIRE(cluster.propose(leader));
  SECTION("to a voter that is up, without a timeout") {
    cluster.transfer(leader, target);
    CHECK_FALSE(cluster.propose(leader));
    cluster.runFor(milliseconds(100));
    CHECK(cluster.at(target).leadership.role == Role::Leader);
    CHECK(cluster.commitEverywhere(cluster.ids()));
  }
  SECTION("not to one that is down: the leader takes proposals again") {
    cluster.crash(target);
    cluster.transfer(leader, target);
    CHECK_FALSE(cluster.propose(leader));
    cluster.runFor(seconds(1));
    CHECK(cluster.propose(leader));
  }
  SECTION("not to one that is no voter") { CHECK_THROWS_AS(cluster.transfer(leader, 9), Error); }
}

TEST_CASE("a read is confirmed by a round that begins after it was asked") {
  SoloReplica replica;
  replica.becomeLeader();
  SECTION("not before an entry of the leader's term is committed") {
    replica->requestRead(ReadTicket{7}, replica.now);
    replica.receiveAck(2, 1, 1);
    replica.receiveAck(2, 1, 2);
    CHECK(replica.reads.empty());
    replica.receiveAck(2, 2, 2);
    CHECK(replica.reads.at(0).confirmed);
    CHECK(replica.reads.at(0).read_index == 2);
  }
  SECTION("an answer to an earlier round does not count") {
    replica.receiveAck(2, 2, 1);
    replica->onTimer(replica.now += SimulatedCluster::testOptions().heartbeat_interval);
    replica.settle();
    // Round 2 is on its way.
    replica->requestRead(ReadTicket{7}, replica.now);
    replica.settle();
    replica.receiveAck(2, 2, 2);
    CHECK(replica.reads.empty());
    replica.receiveAck(3, 2, 3);
    CHECK(replica.reads.at(0).confirmed);
  }
  SECTION("one that stepped down answers that it does not know") {
    replica->requestRead(ReadTicket{7}, replica.now);
    wire::AppendRequestT newer;
    newer.term = 9;
    newer.leader = 3;
    replica.receive(3, newer);
    CHECK_FALSE(replica.reads.at(0).confirmed);
  }
}

TEST_CASE("replicas that all start anew elect a leader before the shortest election timeout has passed") {
  SimulatedCluster cluster(3, GENERATE(1, 2, 3, 4, 5));
  cluster.waitForLeader();
  for (const ReplicaId id : cluster.ids()) cluster.crash(id);
  for (const ReplicaId id : cluster.ids()) cluster.start(id);
  const auto leads = [&cluster] {
    const auto ids = cluster.ids();
    return std::any_of(ids.begin(), ids.end(),
                       [&](ReplicaId id) { return cluster.at(id).leadership.role == Role::Leader; });
  };
  CHECK(cluster.runUntil(leads, SimulatedCluster::testOptions().election_timeout_min));
}

TEST_CASE("a replica that starts beside a live leader does not disturb it") {
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

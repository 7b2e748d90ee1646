// Tests of clusters that bootstrap and manage their membership from seed addresses alone, and of their nodes.
#include <catch2/catch.hpp>

#include "mesh/compression.h"
#include "self_forming_cluster.h"
#include "store/state_machine.h"

namespace cometstand::store::test {

TEST_CASE("a cluster bootstraps from its seeds in any start order, and other replicas join it") {
  SelfFormingCluster cluster(GENERATE(1, 2, 3));
  const std::size_t first = GENERATE(0, 3);
  cluster.network.start(first);
  cluster.network.runFor(milliseconds(300));
  for (std::size_t i = 0; i < 4; ++i) {
    if (i != first) cluster.network.start(i);
  }
  REQUIRE(cluster.electsLeader());
  CHECK(cluster.voters() == std::set<std::uint64_t>{1, 2, 3});
  REQUIRE(cluster.network.runUntil([&] {
    return cluster.network.core(3).leadership().leader == cluster.network.core(0).leadership().leader;
  }));
}

TEST_CASE("no cluster is bootstrapped without the bootstrap flag or with a seed missing") {
  SelfFormingCluster cluster;
  SECTION("a seed is missing") { cluster.network.start(0); }
  SECTION("the bootstrap flag is not set") {
    for (std::size_t i = 0; i < kSeeds; ++i) {
      cluster.configureReplica(i, false);
      cluster.network.start(i);
    }
  }
  cluster.network.start(3);
  cluster.network.runFor(seconds(20));
  CHECK_FALSE(cluster.hasLeader());
}

// Guards against a cluster that never forms because a seed was lost during the first start.
TEST_CASE("a seed lost at the first start does not keep the cluster from forming") {
  SelfFormingCluster cluster(GENERATE(1, 2, 3));
  const std::size_t lost = GENERATE(0, 1, 2);
  const Duration lost_at = milliseconds(GENERATE(2, 5, 50, 100, 102, 104, 200, 600));
  const bool starts_before_others = GENERATE(true, false);
  cluster.network.start(lost);
  if (starts_before_others) cluster.network.runFor(lost_at);
  for (std::size_t i = 0; i < 4; ++i) {
    if (i != lost) cluster.network.start(i);
  }
  if (!starts_before_others) cluster.network.runFor(lost_at);
  cluster.network.crash(lost);
  const auto successor = cluster.network.addReplica(++cluster.last_id);
  cluster.configureReplica(successor, false);
  cluster.network.start(successor);
  REQUIRE(cluster.electsLeader(seconds(6)));
  CHECK(cluster.change(0, 5) == MeshAnswerKind::Done);
  REQUIRE(cluster.network.runUntil(
      [&] { return cluster.voters().size() == kSeeds && !cluster.isVoter(lost); }, seconds(6)));
  // The leader uses a membership before it is committed. The delay lets the others receive it.
  cluster.network.runFor(milliseconds(300));
  const auto leader = *cluster.network.leader();
  cluster.network.crash(leader);
  REQUIRE(cluster.electsLeader(seconds(5)));
  CHECK(cluster.read(*cluster.network.leader()).revision == 5);
}

// Guards against two clusters when a seed appears in the moment in which the others leave it out.
TEST_CASE("a seed that appears while it is left out belongs to the same cluster") {
  SelfFormingCluster cluster(GENERATE(range(1, 6)));
  const std::size_t late = GENERATE(0, 1, 2);
  const Duration appears_at = seconds(3) + milliseconds(GENERATE(range(-12, 13)));
  for (std::size_t i = 0; i < 4; ++i) {
    if (i != late) cluster.network.start(i);
  }
  cluster.network.runFor(appears_at);
  cluster.network.start(late);
  REQUIRE(cluster.electsLeader(seconds(6)));
  REQUIRE(cluster.change(0, 5) == MeshAnswerKind::Done);
  cluster.network.runFor(seconds(6));
  CHECK(cluster.voters().size() == kSeeds);
  for (std::size_t i = 0; i < 4; ++i) CHECK(cluster.network.core(i).stateMachine().mesh().revision() == 5);
}

// Guards against a seed that restarts without its flag in the middle of the first start, and against the
// others that wait for it.
TEST_CASE("a seed that restarts during the first start without the bootstrap flag takes part") {
  SelfFormingCluster cluster(GENERATE(1, 2, 3));
  const std::size_t restarted = GENERATE(0, 1, 2);
  cluster.network.startAll();
  cluster.network.runFor(milliseconds(GENERATE(1, 3, 50, 101, 103, 105, 150)));
  cluster.network.crash(restarted);
  cluster.configureReplica(restarted, false);
  cluster.network.runFor(milliseconds(500));
  cluster.network.start(restarted);
  REQUIRE(cluster.electsLeader(seconds(6)));
  REQUIRE(cluster.change(0, 5) == MeshAnswerKind::Done);
  cluster.network.runFor(seconds(1));
  CHECK(cluster.network.core(restarted).stateMachine().mesh().revision() == 5);
}

TEST_CASE("a replica that lost its disk restarts with a new identifier and replaces its former identifier") {
  SelfFormingCluster cluster(GENERATE(1, 2, 3, 4));
  cluster.network.startAll();
  REQUIRE(cluster.electsLeader());
  REQUIRE(cluster.change(0, 5) == MeshAnswerKind::Done);
  const std::size_t lost = GENERATE(0, 1, 2);
  cluster.replaceDisk(lost);
  cluster.network.runFor(milliseconds(700));
  cluster.network.start(lost);
  REQUIRE(cluster.network.runUntil([&] { return cluster.isVoter(lost) || cluster.isVoter(3); }, seconds(4)));
  REQUIRE(cluster.network.runUntil([&] { return cluster.voters().size() == kSeeds; }, seconds(4)));
  CHECK_FALSE(cluster.voters().contains(lost + 1));
  CHECK(cluster.read(*cluster.network.leader()).revision == 5);
}

TEST_CASE("a seed with an empty disk and the bootstrap flag joins the existing cluster") {
  SelfFormingCluster cluster;
  cluster.network.startAll();
  REQUIRE(cluster.electsLeader());
  REQUIRE(cluster.change(0, 5) == MeshAnswerKind::Done);
  cluster.replaceDisk(0);
  cluster.configureReplica(0, true);
  cluster.network.start(0);
  cluster.network.runFor(seconds(10));
  CHECK(cluster.read(*cluster.network.leader()).revision == 5);
  CHECK(cluster.network.core(0).stateMachine().mesh().revision() == 5);
}

TEST_CASE("a voter that failed permanently is replaced before another voter loses its disk") {
  SelfFormingCluster cluster(GENERATE(1, 2, 3));
  cluster.network.startAll();
  REQUIRE(cluster.electsLeader());
  REQUIRE(cluster.change(0, 5) == MeshAnswerKind::Done);
  cluster.network.crash(1);
  REQUIRE(cluster.network.runUntil([&] { return cluster.isVoter(3) && cluster.voters().size() == kSeeds; },
                                   seconds(5)));
  // The leader uses the new membership before it is committed. The delay lets the others receive it.
  cluster.network.runFor(milliseconds(50));
  cluster.replaceDisk(2);
  REQUIRE(cluster.network.runUntil([&] { return cluster.hasLeader(); }, seconds(5)));
  CHECK(cluster.read(*cluster.network.leader()).revision == 5);
  CHECK(cluster.change(5, 6) == MeshAnswerKind::Done);
}

TEST_CASE("a voter that was replaced while it was down joins again with its existing disk") {
  SelfFormingCluster cluster;
  cluster.network.startAll();
  REQUIRE(cluster.electsLeader());
  const std::size_t stopped = (*cluster.network.leader() + 1) % kSeeds;
  cluster.network.crash(stopped);
  REQUIRE(cluster.network.runUntil([&] { return cluster.isVoter(3); }, seconds(6)));
  REQUIRE(cluster.change(0, 5) == MeshAnswerKind::Done);
  cluster.network.start(stopped);
  REQUIRE(cluster.network.runUntil(
      [&] { return cluster.network.core(stopped).stateMachine().mesh().revision() == 5; }, seconds(5)));
}

TEST_CASE("a voter that is down for a short time is not replaced") {
  SelfFormingCluster cluster;
  cluster.network.startAll();
  REQUIRE(cluster.electsLeader());
  cluster.network.runFor(seconds(1));
  const std::size_t stopped = (*cluster.network.leader() + 1) % kSeeds;
  cluster.network.crash(stopped);
  cluster.network.runFor(milliseconds(2'000));
  cluster.network.start(stopped);
  cluster.network.runFor(seconds(5));
  CHECK(cluster.isVoter(stopped));
}

TEST_CASE("an accepted change survives a simultaneous crash of all replicas") {
  SelfFormingCluster cluster(GENERATE(1, 2, 3));
  cluster.network.startAll();
  REQUIRE(cluster.electsLeader());
  REQUIRE(cluster.change(0, 5) == MeshAnswerKind::Done);
  for (std::size_t i = 0; i < 4; ++i) cluster.network.crash(i);
  for (std::size_t i = 0; i < 4; ++i) {
    cluster.configureReplica(i, false);
    cluster.network.start(i);
  }
  REQUIRE(cluster.electsLeader(seconds(5)));
  CHECK(cluster.read(*cluster.network.leader()).revision == 5);
}

TEST_CASE("an accepted change survives the loss of one disk while all other replicas lose power") {
  SelfFormingCluster cluster(GENERATE(1, 2, 3));
  cluster.network.startAll();
  REQUIRE(cluster.electsLeader());
  REQUIRE(cluster.change(0, 5) == MeshAnswerKind::Done);
  const std::size_t lost = GENERATE(0, 1, 2, 3);
  for (std::size_t i = 0; i < 4; ++i) cluster.network.crash(i);
  cluster.replaceDisk(lost);
  for (std::size_t i = 0; i < 4; ++i) {
    cluster.configureReplica(i, false);
    cluster.network.start(i);
  }
  REQUIRE(cluster.electsLeader(seconds(8)));
  CHECK(cluster.read(*cluster.network.leader()).revision == 5);
}

TEST_CASE("a follower does not answer a read and returns the address of the leader") {
  SelfFormingCluster cluster;
  cluster.network.startAll();
  REQUIRE(cluster.electsLeader());
  cluster.network.runFor(seconds(1));
  const std::size_t follower = (*cluster.network.leader() + 1) % kSeeds;
  const auto answer = cluster.read(follower);
  CHECK(answer.kind == MeshAnswerKind::NotLeader);
  REQUIRE(answer.leader.has_value());
  CHECK(answer.leader->port == cluster.network.options(*cluster.network.leader()).self.port);
}

TEST_CASE("a leader that is partitioned from the other replicas does not answer reads") {
  SelfFormingCluster cluster;
  cluster.network.startAll();
  REQUIRE(cluster.electsLeader());
  REQUIRE(cluster.change(0, 5) == MeshAnswerKind::Done);
  const auto old_leader = *cluster.network.leader();
  cluster.network.cut(old_leader);
  REQUIRE(cluster.electsLeader());
  REQUIRE(cluster.change(5, 6) == MeshAnswerKind::Done);
  CHECK(cluster.read(old_leader).kind != MeshAnswerKind::Done);
}

// Guards against a delay of up to 1.5 s before nodes that connected before the election of a leader were
// informed of it.
TEST_CASE("a connected node is informed promptly that its store replica knows a leader") {
  SelfFormingCluster cluster;
  cluster.network.start(0);
  const auto node = cluster.connectNode("node-1");
  cluster.network.runFor(milliseconds(250));
  cluster.network.start(1);
  cluster.network.start(2);
  REQUIRE(cluster.network.runUntil([&] { return cluster.network.core(0).leadership().leader != 0; }));
  cluster.network.received(node).clear();
  cluster.network.runFor(milliseconds(150));
  const auto& received = cluster.network.received(node);
  CHECK(std::any_of(received.begin(), received.end(), [](const auto& message) {
    const auto* beat = message.body.AsStoreBeat();
    return beat != nullptr && beat->is_current;
  }));
}

TEST_CASE("a node gets the full configuration, then a patch, and the endpoints of the other nodes") {
  SelfFormingCluster cluster;
  cluster.network.startAll();
  REQUIRE(cluster.electsLeader());
  REQUIRE(cluster.change(0, 5) == MeshAnswerKind::Done);
  const auto node = cluster.connectNode("node-1");
  cluster.network.send(node, runtime::makeEnvelope(wire::NodeSubscribeT()));
  cluster.network.runFor(milliseconds(200));
  const auto updates = [&] {
    std::vector<const wire::MeshUpdateT*> found;
    for (const auto& message : cluster.network.received(node)) {
      if (const auto* update = message.body.AsMeshUpdate()) found.push_back(update);
    }
    return found;
  };
  REQUIRE(updates().size() == 1);
  CHECK(updates()[0]->revision == 5);
  CHECK(updates()[0]->base_revision == 0);
  REQUIRE(cluster.change(5, 6) == MeshAnswerKind::Done);
  cluster.network.runFor(milliseconds(500));
  REQUIRE(updates().size() == 2);
  CHECK(updates()[1]->base_revision == 5);
  const auto before = mesh::decompress(updates()[0]->configuration);
  CHECK(mesh::decompress(updates()[1]->configuration, before) == std::vector<std::uint8_t>{3, 4, 6});

  const auto other = cluster.connectNode("node-2");
  wire::EndpointUpdateT report;
  report.records.push_back(std::make_shared<wire::EndpointRecordT>());
  report.records[0]->endpoint = "instance-2";
  report.records[0]->state = wire::EndpointState::Live;
  cluster.network.send(other, runtime::makeEnvelope(report));
  const auto last_state = [&] {
    std::optional<wire::EndpointState> state;
    for (const auto& message : cluster.network.received(node)) {
      const auto* records = message.body.AsEndpointUpdate();
      if (records != nullptr && !records->records.empty()) state = records->records.back()->state;
    }
    return state;
  };
  cluster.network.runFor(milliseconds(100));
  CHECK(last_state() == wire::EndpointState::Live);
  cluster.network.disconnect(other);
  cluster.network.runFor(seconds(1));
  CHECK(last_state() == wire::EndpointState::Live);
  cluster.network.runFor(seconds(2));
  CHECK(last_state() == wire::EndpointState::Gone);
}

// Guards against excessive traffic between zones. When every store replica sent every node a heartbeat with
// the list of store replicas at each membership change, this made up two fifths of that traffic in a large
// cluster.
TEST_CASE(
    "a store replica sends few heartbeats, without the replica list, to a node that another replica serves") {
  SelfFormingCluster cluster;
  cluster.network.startAll();
  REQUIRE(cluster.electsLeader());
  const auto served = cluster.connectNode("node-1");
  cluster.network.send(served, runtime::makeEnvelope(wire::NodeSubscribeT()));
  const auto standby = cluster.connectNode("node-2");
  constexpr int kSeconds = 10;
  for (int i = 0; i < kSeconds; ++i) {
    cluster.network.runFor(seconds(1));
    for (const auto node : {served, standby})
      cluster.network.send(node, runtime::makeEnvelope(wire::EndpointUpdateT()));
  }
  const auto count = [&](auto node, bool with_stores) {
    const auto& received = cluster.network.received(node);
    return std::count_if(received.begin(), received.end(), [with_stores](const auto& message) {
      const auto* beat = message.body.AsStoreBeat();
      return beat != nullptr && beat->replicas.empty() != with_stores;
    });
  };
  CHECK(count(standby, true) == 0);
  CHECK(count(standby, false) >= 1);
  CHECK(count(standby, false) <= 2);
  CHECK(count(served, true) >= 2);
  CHECK(count(served, false) >= kSeconds);
}

// Guards against one message per endpoint: after the start of a mesh of 280 nodes, each node received 280
// messages with one endpoint each.
TEST_CASE("endpoints that are reported at about the same time are sent in few messages") {
  SelfFormingCluster cluster;
  cluster.network.startAll();
  REQUIRE(cluster.electsLeader());
  const auto node = cluster.connectNode("node");
  cluster.network.send(node, runtime::makeEnvelope(wire::NodeSubscribeT()));
  cluster.network.runFor(milliseconds(200));
  cluster.network.received(node).clear();
  constexpr std::size_t kOthers = 20;
  for (std::size_t i = 0; i < kOthers; ++i) {
    const auto other = cluster.connectNode("other-" + std::to_string(i));
    wire::EndpointUpdateT report;
    report.records.push_back(std::make_shared<wire::EndpointRecordT>());
    report.records[0]->endpoint = "instance-" + std::to_string(i);
    report.records[0]->state = wire::EndpointState::Live;
    cluster.network.send(other, runtime::makeEnvelope(report));
  }
  cluster.network.runFor(milliseconds(200));
  std::size_t messages = 0;
  std::size_t records = 0;
  for (const auto& message : cluster.network.received(node)) {
    const auto* update = message.body.AsEndpointUpdate();
    if (update == nullptr) continue;
    ++messages;
    records += update->records.size();
  }
  CHECK(records == kOthers);
  CHECK(messages <= 2);
}

}  // namespace cometstand::store::test

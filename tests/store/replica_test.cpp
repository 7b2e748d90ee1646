// Tests of replicas that lost their disk and of the replacement of replicas.
#include <fmt/format.h>

#include <catch2/catch.hpp>

#include "store_fixture.h"

namespace cometstand::store::test {
namespace {

using std::chrono::seconds;

/// Counts the votes granted and the log entries acknowledged under the given replica id.
struct VoteCounter {
  VoteCounter(MemoryNetwork& network, std::uint64_t id) {
    network.on_consensus_message = [this, id](const wire::ConsensusMessageT& message) {
      if (message.from != id) return;
      const auto* vote = message.body.AsVoteReply();
      const auto* append = message.body.AsAppendReply();
      if ((vote != nullptr && vote->granted) || (append != nullptr && append->success)) ++count;
    };
  }
  int count = 0;
};

TEST_CASE("a replica that lost its disk never votes under its old id, even if it is started with bootstrap") {
  ThreeReplicaCluster trio;
  trio.begin();
  const auto leader = trio.waitForLeader();
  const std::size_t lost = (leader + 1) % 3;
  const std::size_t behind = (leader + 2) % 3;
  trio.network.crash(behind);
  REQUIRE(trio.run(leader, "change { put tenant wspolnota }").version == 1);
  trio.network.crash(lost);
  trio.network.loseDisk(lost);
  trio.network.crash(leader);
  VoteCounter votes(trio.network, trio.network.options(lost).self.id);
  trio.network.start(lost);
  trio.network.start(behind);
  trio.network.runFor(seconds(30));
  // Neither of the two running replicas has the committed change, so they must not elect a leader.
  REQUIRE_FALSE(trio.network.leader().has_value());
  trio.network.start(leader);
  REQUIRE(trio.network.runUntil([&] { return trio.network.leader().has_value(); }));
  trio.network.runFor(seconds(5));
  REQUIRE(votes.count == 0);
  REQUIRE(trio.run(*trio.network.leader(), "show version").version == 1);
}

TEST_CASE("a new cluster forms even if an initial voter crashes during formation") {
  ThreeReplicaCluster trio;
  trio.network.start(0);
  trio.network.start(1);
  trio.network.runFor(seconds(5));
  REQUIRE_FALSE(trio.network.leader().has_value());
  trio.network.start(2);
  trio.network.runFor(std::chrono::milliseconds(GENERATE(1, 3, 5, 8, 12, 50, 110, 130)));
  trio.network.crash(0);
  trio.network.runFor(seconds(2));
  trio.network.start(0);
  trio.waitForLeader();
}

/// A cluster of three in which one replica lost its disk, and a new replica that is not started yet.
struct Repair {
  explicit Repair(ThreeReplicaCluster& trio)
      : leader(trio.waitForLeader()), lost((leader + 1) % 3), other((leader + 2) % 3) {
    trio.network.crash(lost);
    trio.network.loseDisk(lost);
    new_replica = trio.network.addReplica(4);
    auto options = trio.network.options(leader);
    options.self = trio.network.options(new_replica).self;
    options.bootstrap = false;
    trio.network.options(new_replica) = options;
    replace_command = "replace replica " + std::to_string(lost + 1) + " with 4";
  }
  std::size_t leader;
  std::size_t lost;
  std::size_t other;
  std::size_t new_replica = 0;
  std::string replace_command;
};

constexpr const char* kAddReplica = "add replica 4 store-4 at 127.0.0.1:103 region south";

TEST_CASE("once a repair is reported complete, losing a second voter loses no accepted change") {
  // Bit 0: lose the leader after the repair if set, the other voter if clear. Bit 1: run the repair under
  // load.
  const int variant = GENERATE(0, 1, 2, 3);
  ThreeReplicaCluster trio(variant + 1);
  for (std::size_t i = 0; i < 3; ++i) trio.network.options(i).consensus.snapshot_after_log_bytes = 4096;
  trio.begin();
  const auto before = trio.waitForLeader();
  for (int i = 0; i < 30; ++i) {
    REQUIRE(trio.run(before, "change { put tenant t" + std::to_string(i) + " }").outcome ==
            wire::Outcome::Completed);
  }
  const Repair repair(trio);
  const auto [leader, other] = std::pair(repair.leader, repair.other);
  REQUIRE(trio.run(leader, repair.replace_command).outcome == wire::Outcome::NotRun);
  REQUIRE(trio.run(other, kAddReplica).outcome == wire::Outcome::Completed);
  // The new replica is not started, so the repair must not be answered yet.
  const auto client = trio.send(other, ThreeReplicaCluster::command(repair.replace_command, trio.nextId()));
  trio.network.runFor(seconds(3));
  REQUIRE(trio.network.received(client).empty());
  trio.network.start(repair.new_replica);
  std::vector<MemoryNetwork::ClientId> load;
  for (int i = 0; (variant & 2) != 0 && i < 50; ++i) {
    load.push_back(trio.send(leader, ThreeReplicaCluster::command(
                                         "change { put tenant l" + std::to_string(i) + " }", trio.nextId())));
  }
  const auto done = trio.answer(client);
  REQUIRE(done.outcome == wire::Outcome::Completed);
  std::uint64_t accepted = trio.run(leader, "show version").version;
  for (const auto each : load) accepted = std::max(accepted, trio.answer(each).version);

  const std::size_t second_lost = (variant & 1) != 0 ? leader : other;
  trio.network.crash(second_lost);
  trio.network.loseDisk(second_lost);
  REQUIRE(trio.network.runUntil([&] { return trio.network.leader().has_value(); }, seconds(30)));
  const auto survivor = *trio.network.leader();
  const auto reply = trio.run(survivor, "show version");
  INFO((reply.error == nullptr ? "" : reply.error->message));
  REQUIRE(reply.version == accepted);
  REQUIRE(trio.run(survivor, "change { put tenant after }").version == accepted + 1);
  // A repeated repair command is answered Completed again.
  REQUIRE(trio.run(survivor, repair.replace_command).outcome == wire::Outcome::Completed);
}

TEST_CASE("a repair is not reported complete if a partition of the leader interrupts it") {
  const int cut_after = GENERATE(range(0, 24));
  ThreeReplicaCluster trio;
  trio.begin();
  REQUIRE(trio.run(0, "change { put tenant wspolnota }").version == 1);
  const Repair repair(trio);
  trio.network.start(repair.new_replica);
  REQUIRE(trio.run(repair.leader, kAddReplica).outcome == wire::Outcome::Completed);
  trio.network.runFor(seconds(2));
  const auto client =
      trio.send(repair.leader, ThreeReplicaCluster::command(repair.replace_command, trio.nextId()));
  trio.network.runFor(std::chrono::milliseconds(cut_after));
  trio.network.cut(repair.leader);
  const bool is_complete = trio.answer(client).outcome == wire::Outcome::Completed;
  if (is_complete) {
    // A repair that was reported complete must tolerate the loss of a second disk.
    trio.network.crash(repair.leader);
    trio.network.loseDisk(repair.leader);
  } else {
    trio.network.mend(repair.leader);
  }
  REQUIRE(trio.network.runUntil([&] { return trio.network.leader().has_value(); }));
  trio.network.runFor(seconds(2));
  const auto leader = *trio.network.leader();
  REQUIRE(trio.run(leader, repair.replace_command).outcome == wire::Outcome::Completed);
  REQUIRE(trio.run(leader, "show version").version == 1);
}

TEST_CASE("a state that exceeded the maximum snapshot size is stored after enough objects are deleted") {
  ThreeReplicaCluster trio;
  for (std::size_t i = 0; i < 3; ++i) {
    trio.network.options(i).consensus.snapshot_after_log_bytes = 4096;
    trio.network.options(i).consensus.max_snapshot_bytes = 16384;
  }
  trio.begin();
  const auto leader = trio.waitForLeader();
  REQUIRE(trio.run(leader, "change { put tenant t }").outcome == wire::Outcome::Completed);
  const std::string value(4000, 'x');
  std::string put;
  std::string remove;
  for (const char* name : {"a", "b", "c", "d", "e", "f"}) {
    put += fmt::format("put secret t/{} value \"{}\"; ", name, value);
    remove += fmt::format("delete secret t/{}; ", name);
  }
  REQUIRE(trio.run(leader, "change { " + put + "}").outcome == wire::Outcome::Completed);
  trio.network.runFor(seconds(5));
  REQUIRE_FALSE(trio.network.files(leader).read("snapshot").has_value());

  REQUIRE(trio.run(leader, "change { " + remove + "}").outcome == wire::Outcome::Completed);
  trio.network.runFor(seconds(60));
  REQUIRE(trio.run(leader, "change { put tenant after }").outcome == wire::Outcome::Completed);
  CHECK(trio.network.runUntil([&] { return trio.network.files(leader).read("snapshot").has_value(); }));
}

}  // namespace
}  // namespace cometstand::store::test

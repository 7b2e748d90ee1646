// Lost disks and replaced replicas.
#include <catch2/catch.hpp>

#include "store_fixture.h"

namespace cometstand::store::test {
namespace {

using std::chrono::seconds;

/// Fails if the replica grants a vote or acknowledges entries as the given identifier.
struct VoteWatch {
  VoteWatch(MemoryNetwork& network, std::uint64_t id) {
    network.on_consensus_message = [this, id](const wire::ConsensusMessageT& message) {
      if (message.from != id) return;
      const auto* vote = message.body.AsVoteReply();
      const auto* append = message.body.AsAppendReply();
      if ((vote != nullptr && vote->granted) || (append != nullptr && append->success)) ++count;
    };
  }
  int count = 0;
};

TEST_CASE("a replica that lost its disk never votes as its old self, also if started with bootstrap") {
  Trio trio;
  trio.begin();
  const auto leader = trio.waitForLeader();
  const std::size_t lost = (leader + 1) % 3;
  const std::size_t behind = (leader + 2) % 3;
  trio.network.crash(behind);
  REQUIRE(trio.run(leader, "change { put tenant wspolnota }").version == 1);
  trio.network.crash(lost);
  trio.network.loseDisk(lost);
  trio.network.crash(leader);
  VoteWatch watch(trio.network, trio.network.options(lost).self.id);
  trio.network.start(lost);
  trio.network.start(behind);
  trio.network.runFor(seconds(30));
  // The two that are left do not know the change: they must not elect a leader.
  REQUIRE_FALSE(trio.network.leader().has_value());
  trio.network.start(leader);
  REQUIRE(trio.network.runUntil([&] { return trio.network.leader().has_value(); }));
  trio.network.runFor(seconds(5));
  REQUIRE(watch.count == 0);
  REQUIRE(trio.run(*trio.network.leader(), "show version").version == 1);
}

TEST_CASE("a new cluster forms also if a first voter crashes on the way") {
  Trio trio;
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

}  // namespace
}  // namespace cometstand::store::test

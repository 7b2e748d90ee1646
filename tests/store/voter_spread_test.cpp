// Voters over the zones of a cluster that keeps itself.
#include <catch2/catch.hpp>

#include "memory_network.h"
#include "store/voter_spread.h"

namespace cometstand::store::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

wire::MembershipT membershipOf(const std::vector<std::string>& voter_zones) {
  wire::MembershipT membership;
  for (const auto& zone : voter_zones) {
    membership.voters.push_back(std::make_shared<wire::ReplicaT>());
    membership.voters.back()->id = membership.voters.size();
    membership.voters.back()->zone = zone;
  }
  return membership;
}

/// @return the step for one learner, of id 100.
std::optional<consensus::MembershipChange> stepFor(const std::vector<std::string>& voter_zones,
                                                   const std::string& learner_zone, std::size_t zones = 1) {
  wire::ReplicaT learner;
  learner.zone = learner_zone;
  return spreadStep(membershipOf(voter_zones), {{100, &learner}}, zones, 1);
}

/// Replicas of given zones that form a cluster from the first of them.
class ZonedCluster {
 public:
  ZonedCluster(std::vector<std::string> zones, std::size_t seeds, std::size_t voters, std::uint64_t seed = 1,
               std::size_t zone_losses = 1)
      : network(0, seed), zones_(std::move(zones)), seeds_(seeds), voters_(voters), losses_(zone_losses) {
    for (std::size_t i = 0; i < zones_.size(); ++i) network.addReplica(i + 1);
    for (std::size_t i = 0; i < zones_.size(); ++i) setUp(i, true);
  }

  void setUp(std::size_t index, bool bootstrap) {
    auto& options = network.options(index);
    options.bootstrap = bootstrap;
    options.self.zone = zones_.at(index);
    options.voters = voters_;
    options.tolerated_zone_losses = losses_;
    options.seeds.clear();
    for (std::size_t i = 0; i < seeds_; ++i) {
      options.seeds.push_back({network.options(i).self.address, network.options(i).self.port});
    }
  }

  /// The machines of the zone are gone, their disks with them.
  void loseZone(const std::string& zone) {
    for (std::size_t i = 0; i < zones_.size(); ++i) {
      if (zones_[i] != zone || !network.isRunning(i)) continue;
      network.crash(i);
      network.loseDisk(i);
    }
  }

  /// The machines of the zone lose power; their disks stay.
  void stopZone(const std::string& zone) {
    for (std::size_t i = 0; i < zones_.size(); ++i) {
      if (zones_[i] == zone) network.crash(i);
    }
  }

  void startZone(const std::string& zone) {
    for (std::size_t i = 0; i < zones_.size(); ++i) {
      if (zones_[i] != zone) continue;
      setUp(i, false);
      network.start(i);
    }
  }

  /// The machines of the zone come back with empty disks.
  void restoreZone(const std::string& zone) {
    for (std::size_t i = 0; i < zones_.size(); ++i) {
      if (zones_[i] != zone) continue;
      network.options(i).self.id += zones_.size();
      setUp(i, false);
      network.start(i);
    }
  }

  std::optional<wire::MembershipT> membership() {
    const auto leader = network.leader();
    return leader ? std::optional(network.core(*leader).membership()) : std::nullopt;
  }

  VotersByZone spread() {
    const auto now = membership();
    return now && now->replaced == 0 ? votersByZone(*now) : VotersByZone();
  }

  bool allVotersRun() {
    const auto now = membership();
    return now && std::all_of(now->voters.begin(), now->voters.end(), [this](const auto& voter) {
             for (std::size_t i = 0; i < zones_.size(); ++i) {
               if (network.options(i).self.id == voter->id) return network.isRunning(i);
             }
             return false;
           });
  }

  bool reaches(const VotersByZone& wanted, Duration limit = seconds(20)) {
    const bool is_reached = network.runUntil([&] { return spread() == wanted; }, limit);
    // The leader has the new membership; it counts once the others have it too.
    network.runFor(milliseconds(100));
    return is_reached && spread() == wanted;
  }

  /// Orders a change without waiting for it. @return set to true once it is acknowledged.
  std::shared_ptr<bool> beginChange(std::uint64_t base, std::uint64_t revision) {
    auto acknowledged = std::make_shared<bool>(false);
    const auto leader = network.leader();
    if (!leader) return acknowledged;
    wire::MeshChangeT change;
    change.base_revision = base;
    change.revision = revision;
    change.document = {static_cast<std::uint8_t>(revision)};
    change.configuration = change.document;
    change.digest = std::make_shared<wire::Digest>(revision, base);
    network.call(*leader, [&](StoreCore& core, TimePoint now) {
      core.changeMesh(
          change,
          [acknowledged](const MeshAnswer& answer) { *acknowledged = answer.kind == MeshAnswerKind::Done; },
          now);
    });
    return acknowledged;
  }

  /// @return what the leader answers a read with; nothing if nobody leads in time.
  std::optional<std::uint64_t> read(Duration limit = seconds(10)) {
    std::optional<std::uint64_t> revision;
    const auto ask = [&] {
      const auto leader = network.leader();
      if (!leader) return;
      network.call(*leader, [&](StoreCore& core, TimePoint now) {
        core.readMesh(
            [&revision](const MeshAnswer& answer) {
              if (answer.kind == MeshAnswerKind::Done) revision = answer.revision;
            },
            now);
      });
    };
    for (Duration waited = Duration::zero(); !revision && waited < limit; waited += milliseconds(100)) {
      ask();
      network.runFor(milliseconds(100));
    }
    return revision;
  }

  MemoryNetwork network;

 private:
  std::vector<std::string> zones_;
  std::size_t seeds_;
  std::size_t voters_;
  std::size_t losses_;
};

}  // namespace

TEST_CASE("a majority outlasts the loss of the fullest zones or does not") {
  CHECK(outlastsZones({{"a", 1}, {"b", 1}, {"c", 1}}, 1));
  CHECK_FALSE(outlastsZones({{"a", 2}, {"b", 1}}, 1));
  CHECK(outlastsZones({{"a", 2}, {"b", 2}, {"c", 1}}, 1));
  CHECK_FALSE(outlastsZones({{"a", 2}, {"b", 2}, {"c", 1}}, 2));
  CHECK(outlastsZones({{"a", 1}, {"b", 1}, {"c", 1}, {"d", 1}, {"e", 1}}, 2));
}

TEST_CASE("a step of the spread takes from the fullest zone, and never the leader") {
  const auto step = stepFor({"a", "a", "b"}, "c");
  REQUIRE(step);
  CHECK(step->kind == consensus::MembershipChangeKind::ReplaceVoter);
  CHECK(step->replica.id == 100);
  CHECK(step->replaced == 2);
}

TEST_CASE("a step that makes the numbers of the zones no more equal is not taken") {
  CHECK_FALSE(stepFor({"a", "b", "c"}, "a"));
  CHECK_FALSE(stepFor({"a", "b", "c"}, "d"));
  CHECK_FALSE(stepFor({"a", "a", "b"}, "b"));
  CHECK_FALSE(stepFor({"", "", ""}, ""));
}

TEST_CASE("a step whose first half would outlast fewer zones is not taken") {
  const std::vector<std::string> voters{"a", "a", "a", "b", "c", "d", "e", "f", "g"};
  CHECK_FALSE(stepFor(voters, "b", 2));
  CHECK(stepFor(voters, "h", 2));
}

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

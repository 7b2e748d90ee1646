#include <catch2/catch.hpp>

#include "base/error.h"
#include "base/event_log.h"
#include "simulated_cluster.h"

/// Random faults by seed; what must hold is checked after every step by the cluster.
namespace cometstand::consensus {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Breaks and mends one cluster at random. At most a minority of the voters is without its disk at any time.
class FaultDriver {
 public:
  FaultDriver(std::size_t voters, std::uint64_t seed) : cluster_(voters, seed), random_(seed + 1) {}

  void run(int rounds) {
    for (int round = 0; round < rounds; ++round) {
      breakSomething();
      work();
      cluster_.runFor(random_.uniform(milliseconds(10), milliseconds(400)));
    }
  }

  /// Everything is mended: every member must apply the same, new entries.
  bool recovers() {
    cluster_.heal();
    cluster_.faults = {};
    restartAll();
    constexpr int kRepairSteps = 60;
    for (int step = 0; step < kRepairSteps && lost_ != 0; ++step) {
      if (const ReplicaId leader = cluster_.waitForLeader(); leader != 0) repair(leader);
      cluster_.runFor(milliseconds(500));
    }
    const ReplicaId leader = cluster_.waitForLeader();
    return leader != 0 && lost_ == 0 &&
           cluster_.commitEverywhere(members(cluster_.consensus(leader).membership()));
  }

  SimulatedCluster& cluster() { return cluster_; }

 private:
  void breakSomething() {
    const ReplicaId victim = pick();
    switch (random_.uniform(0, 11)) {
      case 0:
        return cluster_.isolate(victim);
      case 1:
        return cluster_.cut(victim, pick());
      case 2:
      case 3:
        return cluster_.heal();
      case 4:
        cluster_.faults = {random_.chance(0.5) ? 0.2 : 0, 0.1, random_.chance(0.5) ? 0.2 : 0};
        return;
      case 5:
        cluster_.faults = {};
        return;
      case 6:
        if (cluster_.isUp(victim)) cluster_.crash(victim);
        return;
      case 7:
        return restartAll();
      case 8:
        return cluster_.freeze(victim, random_.uniform(milliseconds(50), seconds(3)));
      case 9:
        return loseDisk(victim);
      case 10:
        if (isActive(victim)) cluster_.compact(victim);
        return;
      default:
        return transfer(victim);
    }
  }

  /// What clients and operators do meanwhile, at every replica that thinks it leads.
  void work() {
    for (const ReplicaId id : cluster_.ids()) {
      if (!isActive(id)) continue;
      for (auto count = random_.uniform(0, 6); count > 0; --count)
        cluster_.propose(id, random_.uniform(8, 400));
      cluster_.requestRead(id);
      repair(id);
    }
  }

  void transfer(ReplicaId from) {
    if (!isActive(from)) return;
    try {
      cluster_.transfer(from, pick());
    } catch (const Error&) {  // Not the leader, or the target has no vote.
    }
  }

  void loseDisk(ReplicaId victim) {
    const ReplicaId leader = cluster_.waitForLeader();
    const bool is_voter = leader != 0 && isVoter(cluster_.consensus(leader).membership(), victim);
    if (!is_voter || lost_ != 0) return;
    if (cluster_.isUp(victim)) cluster_.crash(victim);
    cluster_.at(victim).disk.lose();
    lost_ = victim;
    replacement_ = next_id_++;
    cluster_.start(replacement_);
  }

  /// Puts a new replica into the place of the one that lost its disk, step by step.
  void repair(ReplicaId leader) {
    if (lost_ == 0) return;
    const auto membership = cluster_.consensus(leader).membership();
    const bool is_committed =
        cluster_.checker().lastApplied() == cluster_.consensus(leader).lastIndex() && isLeader(leader);
    const bool lost_is_member = findReplica(membership, lost_) != nullptr;
    const bool replacement_votes = isVoter(membership, replacement_);
    try {
      if (!lost_is_member && replacement_votes) {
        if (is_committed) lost_ = replacement_ = 0;
      } else if (findReplica(membership, replacement_) == nullptr) {
        cluster_.change(leader, MembershipChangeKind::AddLearner, replacement_);
      } else if (!replacement_votes) {
        cluster_.change(leader, MembershipChangeKind::ReplaceVoter, replacement_, lost_);
      }
    } catch (const Error&) {  // Not the leader, another change runs, or not caught up: the next round tries.
    }
  }

  void restartAll() {
    for (const ReplicaId id : cluster_.ids()) {
      if (!cluster_.isUp(id)) cluster_.start(id);
    }
  }

  bool isActive(ReplicaId id) { return cluster_.isUp(id) && cluster_.now() >= cluster_.at(id).frozen_until; }
  bool isLeader(ReplicaId id) { return cluster_.at(id).leadership.role == Role::Leader; }

  ReplicaId pick() {
    const auto ids = cluster_.ids();
    return ids[random_.uniform(0, ids.size() - 1)];
  }

  static std::vector<ReplicaId> members(const wire::MembershipT& membership) {
    std::vector<ReplicaId> result;
    for (const auto& voter : membership.voters) result.push_back(voter->id);
    return result;
  }

  SimulatedCluster cluster_;
  RandomSource random_;
  ReplicaId lost_ = 0;
  ReplicaId replacement_ = 0;
  ReplicaId next_id_ = 100;
};

void runSeeds(std::size_t voters) {
  constexpr std::uint64_t kSeeds = 200;
  constexpr int kRounds = 60;
  // Lost disks are refused with an error event each.
  setLogLevel(LogLevel::Error);
  std::size_t entries = 0;
  std::size_t reads = 0;
  Term terms = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    INFO("seed " << seed << ", voters " << voters);
    FaultDriver driver(voters, seed);
    REQUIRE_NOTHROW(driver.run(kRounds));
    bool recovered = false;
    REQUIRE_NOTHROW(recovered = driver.recovers());
    REQUIRE(recovered);
    entries += driver.cluster().checker().lastApplied();
    reads += driver.cluster().checker().confirmedReads();
    terms += driver.cluster().checker().lastTerm();
  }
  // The runs would show nothing if they did not get anywhere.
  CHECK(entries > 20 * kSeeds);
  CHECK(reads > 10 * kSeeds);
  CHECK(terms > 5 * kSeeds);
}

}  // namespace

TEST_CASE("three voters keep Raft's properties under random faults", "[random]") { runSeeds(3); }
TEST_CASE("five voters keep Raft's properties under random faults", "[random]") { runSeeds(5); }

}  // namespace cometstand::consensus

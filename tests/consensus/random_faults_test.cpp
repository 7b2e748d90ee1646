#include <catch2/catch.hpp>

#include "base/error.h"
#include "base/event_log.h"
#include "simulated_cluster.h"

/// Injects random faults, determined by a seed. SimulatedCluster checks the invariants after every step.
namespace cometstand::consensus {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Injects and repairs random faults in one cluster. At most one voter at a time has lost its disk and is not
/// replaced yet.
class FaultDriver {
 public:
  FaultDriver(std::size_t voters, std::uint64_t seed) : cluster_(voters, seed), random_(seed + 1) {}

  void run(int rounds) {
    for (int round = 0; round < rounds; ++round) {
      injectFault();
      issueRequests();
      cluster_.runFor(random_.uniform(milliseconds(10), milliseconds(400)));
    }
  }

  /// Removes all faults, restarts all replicas and completes a pending replacement.
  /// @return true if every voter then applies a newly committed entry.
  bool recoverAndCommit() {
    cluster_.heal();
    cluster_.faults = {};
    restartAll();
    constexpr int kMaxReplacementSteps = 60;
    for (int step = 0; step < kMaxReplacementSteps && lost_voter_ != 0; ++step) {
      if (const ReplicaId leader = cluster_.waitForLeader(); leader != 0) continueReplacement(leader);
      cluster_.runFor(milliseconds(500));
    }
    const ReplicaId leader = cluster_.waitForLeader();
    return leader != 0 && lost_voter_ == 0 &&
           cluster_.commitOnAll(voterIds(cluster_.consensus(leader).membership()));
  }

  SimulatedCluster& cluster() { return cluster_; }

 private:
  void injectFault() {
    const ReplicaId target = pickReplica();
    switch (random_.uniform(0, 11)) {
      case 0:
        return cluster_.isolate(target);
      case 1:
        return cluster_.blockLink(target, pickReplica());
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
        if (cluster_.isUp(target)) cluster_.crash(target);
        return;
      case 7:
        return restartAll();
      case 8:
        return cluster_.suspend(target, random_.uniform(milliseconds(50), seconds(3)));
      case 9:
        return loseDisk(target);
      case 10:
        if (isActive(target)) cluster_.compact(target);
        return;
      default:
        return transfer(target);
    }
  }

  /// Sends proposals, reads and membership changes to every running replica, as clients and operators do;
  /// only a leader accepts them.
  void issueRequests() {
    for (const ReplicaId id : cluster_.ids()) {
      if (!isActive(id)) continue;
      for (auto count = random_.uniform(0, 6); count > 0; --count)
        cluster_.propose(id, random_.uniform(8, 400));
      cluster_.requestRead(id);
      continueReplacement(id);
    }
  }

  void transfer(ReplicaId from) {
    if (!isActive(from)) return;
    try {
      cluster_.transfer(from, pickReplica());
    } catch (const Error&) {  // Not the leader, or the target is not a voter.
    }
  }

  void loseDisk(ReplicaId target) {
    const ReplicaId leader = cluster_.waitForLeader();
    const bool is_voter = leader != 0 && isVoter(cluster_.consensus(leader).membership(), target);
    if (!is_voter || lost_voter_ != 0) return;
    if (cluster_.isUp(target)) cluster_.crash(target);
    cluster_.at(target).disk.erase();
    lost_voter_ = target;
    replacement_ = next_replica_id_++;
    cluster_.start(replacement_);
  }

  /// Performs the next step to replace the voter that lost its disk: adds a learner, then requests
  /// ReplaceVoter.
  void continueReplacement(ReplicaId leader) {
    if (lost_voter_ == 0) return;
    const auto membership = cluster_.consensus(leader).membership();
    const bool is_committed =
        cluster_.checker().lastApplied() == cluster_.consensus(leader).lastIndex() && isLeader(leader);
    const bool lost_is_member = findReplica(membership, lost_voter_) != nullptr;
    const bool replacement_is_voter = isVoter(membership, replacement_);
    try {
      if (!lost_is_member && replacement_is_voter) {
        if (is_committed) lost_voter_ = replacement_ = 0;
      } else if (findReplica(membership, replacement_) == nullptr) {
        cluster_.change(leader, MembershipChangeKind::AddLearner, replacement_);
      } else if (!replacement_is_voter) {
        cluster_.change(leader, MembershipChangeKind::ReplaceVoter, replacement_, lost_voter_);
      }
    } catch (const Error&) {  // Not the leader, another change in progress, or not caught up: the next call
                              // retries.
    }
  }

  void restartAll() {
    for (const ReplicaId id : cluster_.ids()) {
      if (!cluster_.isUp(id)) cluster_.start(id);
    }
  }

  bool isActive(ReplicaId id) {
    return cluster_.isUp(id) && cluster_.now() >= cluster_.at(id).suspended_until;
  }
  bool isLeader(ReplicaId id) { return cluster_.at(id).leadership.role == Role::Leader; }

  ReplicaId pickReplica() {
    const auto ids = cluster_.ids();
    return ids[random_.uniform(0, ids.size() - 1)];
  }

  static std::vector<ReplicaId> voterIds(const wire::MembershipT& membership) {
    std::vector<ReplicaId> result;
    for (const auto& voter : membership.voters) result.push_back(voter->id);
    return result;
  }

  SimulatedCluster cluster_;
  RandomSource random_;
  ReplicaId lost_voter_ = 0;
  ReplicaId replacement_ = 0;
  ReplicaId next_replica_id_ = 100;
};

void runSeeds(std::size_t voters) {
  constexpr std::uint64_t kSeedCount = 200;
  constexpr int kRoundCount = 60;
  // Suppresses all but errors; each replica that is started without its lost disk causes an expected one.
  setLogLevel(LogLevel::Error);
  std::size_t entries = 0;
  std::size_t reads = 0;
  Term terms = 0;
  for (std::uint64_t seed = 1; seed <= kSeedCount; ++seed) {
    INFO("seed " << seed << ", voters " << voters);
    FaultDriver driver(voters, seed);
    REQUIRE_NOTHROW(driver.run(kRoundCount));
    bool recovered = false;
    REQUIRE_NOTHROW(recovered = driver.recoverAndCommit());
    REQUIRE(recovered);
    entries += driver.cluster().checker().lastApplied();
    reads += driver.cluster().checker().confirmedReads();
    terms += driver.cluster().checker().lastTerm();
  }
  // Ensures that the runs make enough progress for the checks to be meaningful.
  CHECK(entries > 20 * kSeedCount);
  CHECK(reads > 10 * kSeedCount);
  CHECK(terms > 5 * kSeedCount);
}

}  // namespace

TEST_CASE("three voters keep Raft's properties under random faults", "[random]") { runSeeds(3); }
TEST_CASE("five voters keep Raft's properties under random faults", "[random]") { runSeeds(5); }

}  // namespace cometstand::consensus

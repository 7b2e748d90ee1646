#include <catch2/catch.hpp>

#include <algorithm>

#include "base/error.h"
#include "consensus/log_storage.h"
#include "simulated_cluster.h"
#include "single_replica_harness.h"

namespace cometstand::consensus {
namespace {

constexpr std::size_t kSegmentBytes = 512;
constexpr Term kTerm = 2;

/// A LogStorage on a simulated disk. reopen() recovers a new LogStorage from the disk, as after a crash.
class StorageFixture {
 public:
  StorageFixture() {
    storage_.saveHardState(hardState());
    sync();
  }

  void append(LogIndex from, LogIndex to, Term term = kTerm) {
    for (LogIndex index = from; index <= to; ++index) {
      wire::LogEntryT entry;
      entry.index = index;
      entry.term = term;
      entry.data.assign(40, static_cast<std::uint8_t>(index));
      storage_.appendEntry(entry);
    }
    sync();
  }

  void saveSnapshot(LogIndex index, Term term, bool keep_log, std::size_t synced_writes) {
    wire::ConsensusSnapshotT snapshot;
    snapshot.last_index = index;
    snapshot.last_term = term;
    snapshot.membership = std::make_shared<wire::MembershipT>();
    storage_.saveSnapshot(snapshot, keep_log);
    sync(synced_writes);
  }

  StoredState reopen() {
    storage_ = LogStorage(kSegmentBytes);
    StoredState state = storage_.recover(disk);
    sync();
    return state;
  }

  /// @param from_last position counted from the last segment, which is 0.
  /// @return the name of a segment file.
  std::string segment(std::size_t from_last) {
    auto names = disk.list();
    std::erase_if(names, [](const std::string& name) { return !name.starts_with("log-"); });
    return names.at(names.size() - 1 - from_last);
  }
  std::vector<std::uint8_t>& lastSegment() { return disk.files().at(segment(0)); }

  SimulatedDisk disk;

 private:
  static wire::HardStateT hardState() {
    wire::HardStateT state;
    state.replica_id = 1;
    state.term = 9;
    return state;
  }

  void sync(std::size_t limit = SIZE_MAX) {
    for (auto& write : storage_.takeWrites()) {
      if (limit-- == 0) break;
      disk.enqueue(std::move(write));
      disk.finishNext();
    }
  }

  LogStorage storage_{kSegmentBytes};
};

void requireCorrupt(StorageFixture& fixture, const std::string& file) {
  const auto before = fixture.disk.files();
  try {
    fixture.reopen();
    FAIL("damage in " << file << " was not detected");
  } catch (const Error& error) {
    CHECK(error.kind() == ErrorKind::Corrupt);
    CHECK(error.message().find(file) != std::string::npos);
    CHECK(error.remedy().find("new id") != std::string::npos);
  }
  CHECK(fixture.disk.files() == before);
}

}  // namespace

TEST_CASE("recovery restores appended entries and truncations") {
  StorageFixture fixture;
  fixture.append(1, 30);
  fixture.append(21, 25, kTerm + 1);
  const auto state = fixture.reopen();
  REQUIRE(state.entries.size() == 25);
  CHECK(state.entries[19]->term == kTerm);
  CHECK(state.entries[20]->term == kTerm + 1);
}

TEST_CASE("recovery discards an incomplete record at the end of the log and keeps the entries before it") {
  StorageFixture fixture;
  fixture.append(1, 10);
  const std::size_t cut = GENERATE(1, 30, 70);
  fixture.lastSegment().resize(fixture.lastSegment().size() - cut);
  CHECK(fixture.reopen().entries.size() == 9);
  fixture.append(10, 12);
  CHECK(fixture.reopen().entries.size() == 12);
}

TEST_CASE("recovery fails on damage other than an incomplete last record and leaves the files unchanged") {
  StorageFixture fixture;
  fixture.append(1, 30);
  fixture.saveSnapshot(3, kTerm, true, SIZE_MAX);
  auto& files = fixture.disk.files();
  SECTION("changed bit in the middle of the last segment") {
    fixture.lastSegment()[40] ^= 1U;
    requireCorrupt(fixture, fixture.segment(0));
  }
  SECTION("changed bit at the end of an earlier segment") {
    files.at(fixture.segment(1)).back() ^= 1U;
    requireCorrupt(fixture, fixture.segment(1));
  }
  SECTION("missing segment") {
    const std::string name = fixture.segment(1);
    files.erase(name);
    requireCorrupt(fixture, name);
  }
  SECTION("changed bit in the snapshot") {
    files.at("snapshot")[20] ^= 1U;
    requireCorrupt(fixture, "snapshot");
  }
  SECTION("changed bit in the hard state") {
    files.at("hard-state").back() ^= 1U;
    requireCorrupt(fixture, "hard-state");
  }
  SECTION("missing hard state") {
    files.erase("hard-state");
    requireCorrupt(fixture, "hard-state");
  }
}

TEST_CASE(
    "entries appended after a crash during the removal of a log that does not match the snapshot are kept") {
  StorageFixture fixture;
  fixture.append(1, 20);
  const std::size_t synced_writes = GENERATE(1, 2, 3);
  // The snapshot comes from the leader, whose entry 11 has another term. The crash interrupts the removal of
  // the segments.
  fixture.saveSnapshot(11, kTerm + 1, false, synced_writes);
  CHECK(fixture.reopen().entries.empty());
  fixture.append(12, 14, kTerm + 1);
  const auto state = fixture.reopen();
  REQUIRE(state.entries.size() == 3);
  CHECK(state.entries.front()->index == 12);
}

TEST_CASE("recovery fails on the data folder of another replica") {
  StorageFixture fixture;
  wire::ReplicaT self;
  self.id = 2;
  Consensus consensus(SimulatedCluster::testOptions(), self, RandomSource(1));
  try {
    consensus.recover(fixture.disk, TimePoint());
    FAIL("the data folder of another replica was accepted");
  } catch (const Error& error) {
    CHECK(error.kind() == ErrorKind::Mismatch);
  }
}

TEST_CASE("a follower acknowledges a snapshot only after syncing it") {
  SingleReplicaHarness replica;
  wire::SnapshotRequestT request;
  request.term = 1;
  request.leader = 2;
  request.snapshot = std::make_shared<wire::ConsensusSnapshotT>();
  request.snapshot->last_index = 50;
  request.snapshot->last_term = 1;
  request.snapshot->membership = std::make_shared<wire::MembershipT>(replica->membership());
  replica.disk.is_blocked = true;
  replica.receive(2, request);
  CHECK(replica.takeSent(&wire::ConsensusBodyUnion::AsSnapshotReply).empty());
  replica.disk.is_blocked = false;
  replica.runUntilIdle();
  CHECK(replica.takeSent(&wire::ConsensusBodyUnion::AsSnapshotReply).at(0).match_index == 50);
}

TEST_CASE("a follower that is too far behind receives a snapshot") {
  SimulatedCluster cluster(3, 9);
  ReplicaId leader = cluster.waitForLeader();
  REQUIRE(cluster.commitOnAll(cluster.ids()));
  ReplicaId behind = leader % 3 + 1;
  SECTION("whose log matches the leader's") { cluster.isolate(behind); }
  SECTION("whose log has uncommitted entries that no other replica has") {
    behind = leader;
    cluster.isolate(behind);
    for (int i = 0; i < 200; ++i) cluster.propose(behind, 200);
    leader = cluster.waitForLeader(behind);
  }
  cluster.runFor(std::chrono::seconds(1));
  const LogIndex before = cluster.checker().lastApplied();
  REQUIRE(cluster.commitEntries(leader, 300));
  cluster.heal();
  CHECK(cluster.commitOnAll(cluster.ids()));
  cluster.crash(behind);
  cluster.start(behind);
  CHECK(cluster.at(behind).applied_index > before);
  CHECK(cluster.commitOnAll(cluster.ids()));
}

}  // namespace cometstand::consensus

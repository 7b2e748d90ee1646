#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/random.h"
#include "cluster_checker.h"
#include "consensus/consensus.h"
#include "simulated_disk.h"

namespace cometstand::consensus {

/// Probabilities of faults that the simulated network applies to each message.
struct NetworkFaults {
  double loss = 0;
  double duplication = 0;
  /// Probability of a delay of up to 500 ms instead of up to 4 ms. Long delays reorder messages.
  double long_delay = 0;
};

/// A replica process with its disk and a state machine whose state is a hash of the applied entries.
struct SimulatedReplica {
  SimulatedDisk disk;
  /// Null while the process is down.
  std::unique_ptr<Consensus> consensus;
  /// Number of process starts. Events that carry an earlier number are discarded.
  std::uint64_t start_count = 0;
  bool write_is_scheduled = false;
  TimePoint suspended_until;
  LogIndex applied_index = 0;
  std::uint64_t state = 0;
  Leadership leadership;
  std::map<ReadRequestId, ReadResult> reads;
};

/// Replicas with a simulated network, simulated disks and simulated time. Runs with equal seeds are
/// identical. After every step, ClusterChecker and Consensus::checkInvariants() check the state; a violation
/// throws std::logic_error.
class SimulatedCluster {
 public:
  /// Bootstraps a cluster whose voters have the ids 1 to `voters`.
  SimulatedCluster(std::size_t voters, std::uint64_t seed, ConsensusOptions options = testOptions());

  /// Options with small log segments and frequent snapshots, so that short tests cover segment and snapshot
  /// handling.
  static ConsensusOptions testOptions();

  void runFor(Duration duration);
  /// @return true if the condition became true within the limit of simulated time.
  bool runUntil(const std::function<bool()>& condition, Duration limit = std::chrono::seconds(60));
  /// Runs until a quorum follows a leader that has committed its whole log.
  /// @param other_than id of a replica that is not accepted as the leader.
  /// @return the id of the leader, or 0 on timeout.
  ReplicaId waitForLeader(ReplicaId other_than = 0);

  SimulatedReplica& at(ReplicaId id) { return *replicas_.at(id); }
  Consensus& consensus(ReplicaId id) { return *at(id).consensus; }
  bool isUp(ReplicaId id) const { return replicas_.at(id)->consensus != nullptr; }
  std::vector<ReplicaId> ids() const;
  TimePoint now() const { return now_; }
  ClusterChecker& checker() { return checker_; }
  RandomSource& random() { return random_; }

  /// Starts a process with the replica's existing disk, or adds a replica with an empty disk. Errors of
  /// recover() are propagated.
  void start(ReplicaId id);
  /// Kills the process. File operations that were not synced are lost, but SimulatedDisk::crash() may apply
  /// the oldest one.
  void crash(ReplicaId id);
  /// Suspends the process for the duration. Its messages and timers are delayed until it resumes.
  void suspend(ReplicaId id, Duration duration) { at(id).suspended_until = now_ + duration; }
  /// @param held if true, no file operation of the replica finishes until the disk is released.
  void holdDisk(ReplicaId id, bool held);
  /// Reports a failed file operation to the replica.
  void failDisk(ReplicaId id);
  /// Blocks messages in one direction until heal().
  void blockLink(ReplicaId from, ReplicaId to) { blocked_links_.insert({from, to}); }
  /// Blocks messages between the replica and all others in both directions.
  void isolate(ReplicaId id);
  void heal() { blocked_links_.clear(); }

  /// Proposes a command at the replica.
  /// @return the log index, or nothing if the replica is not the leader.
  std::optional<LogIndex> propose(ReplicaId id, std::size_t bytes = 24);
  ReadRequestId requestRead(ReplicaId id);
  void transfer(ReplicaId from, ReplicaId to);
  LogIndex change(ReplicaId leader, MembershipChangeKind kind, ReplicaId id, ReplicaId replaced = 0);
  void compact(ReplicaId id);
  /// Proposes `count` entries at the leader.
  /// @return true if the leader applied them.
  bool commitEntries(ReplicaId leader, std::size_t count);
  /// Proposes entries at the leader until one of them is applied by all listed replicas.
  /// @return false if no attempt succeeded.
  bool commitOnAll(const std::vector<ReplicaId>& replicas);

  NetworkFaults faults;
  /// Called for every message that a replica sends, before faults are applied.
  std::function<void(const wire::ConsensusMessageT&)> on_send;

 private:
  struct Event {
    ReplicaId replica = 0;
    /// Value of SimulatedReplica::start_count of the process that the event is for; 0 for any process.
    std::uint64_t start_count = 0;
    /// The message to deliver; if empty, the replica's oldest file operation finishes.
    std::optional<wire::ConsensusMessageT> message;
  };

  bool step(TimePoint limit);
  void handleEvent(const Event& event);
  void deliver(SimulatedReplica& replica, const Event& event);
  void processOutput(ReplicaId id);
  void send(const wire::ConsensusMessageT& message);
  void schedule(Duration delay, Event event);
  void scheduleWrite(ReplicaId id);
  void apply(SimulatedReplica& replica, const wire::LogEntryT& entry);

  ConsensusOptions options_;
  RandomSource random_;
  TimePoint now_{std::chrono::hours(1)};
  std::map<ReplicaId, std::unique_ptr<SimulatedReplica>> replicas_;
  std::multimap<TimePoint, Event> events_;
  std::set<std::pair<ReplicaId, ReplicaId>> blocked_links_;
  ClusterChecker checker_;
  std::uint64_t next_ticket_ = 1;
  std::uint64_t next_command_ = 1;
};

}  // namespace cometstand::consensus

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

/// Chances of what the simulated network does to one message.
struct NetworkFaults {
  double loss = 0;
  double duplication = 0;
  /// Chance of a delay of up to half a second instead of a few milliseconds, which reorders messages.
  double long_delay = 0;
};

/// One process with its disk and a state machine that hashes what it applies.
struct SimulatedReplica {
  SimulatedDisk disk;
  /// Empty while the process is down.
  std::unique_ptr<Consensus> consensus;
  /// Rises with each start, so that events of an earlier process are dropped.
  std::uint64_t starts = 0;
  bool write_is_scheduled = false;
  TimePoint frozen_until;
  LogIndex applied_index = 0;
  std::uint64_t state = 0;
  Leadership leadership;
  std::map<ReadTicket, ReadResult> reads;
};

/// Replicas over a simulated network and simulated disks, in simulated time. Equal seeds give equal runs.
/// After every step ClusterChecker and Consensus::checkInvariants() are asked; a violation throws
/// std::logic_error.
class SimulatedCluster {
 public:
  /// Bootstraps voters 1 to `voters`.
  SimulatedCluster(std::size_t voters, std::uint64_t seed, ConsensusOptions options = testOptions());

  /// Small log segments and snapshots, so that all paths are taken.
  static ConsensusOptions testOptions();

  void runFor(Duration duration);
  /// @return whether the condition held within the limit of simulated time.
  bool runUntil(const std::function<bool()>& condition, Duration limit = std::chrono::seconds(60));
  /// @return the leader that a quorum follows, once it has committed its log; 0 if the limit passes.
  ReplicaId waitForLeader(ReplicaId other_than = 0);

  SimulatedReplica& at(ReplicaId id) { return *replicas_.at(id); }
  Consensus& consensus(ReplicaId id) { return *at(id).consensus; }
  bool isUp(ReplicaId id) const { return replicas_.at(id)->consensus != nullptr; }
  std::vector<ReplicaId> ids() const;
  TimePoint now() const { return now_; }
  ClusterChecker& checker() { return checker_; }
  RandomSource& random() { return random_; }

  /// Starts a process on the disk that is there; adds the replica if it is new. Errors of recover() pass.
  void start(ReplicaId id);
  /// Kills the process; what was not synced is lost.
  void crash(ReplicaId id);
  /// The process stands still; messages and timers wait for it.
  void freeze(ReplicaId id, Duration duration) { at(id).frozen_until = now_ + duration; }
  /// While held, no file operation of the replica finishes.
  void holdDisk(ReplicaId id, bool held);
  void failDisk(ReplicaId id);
  void cut(ReplicaId from, ReplicaId to) { cuts_.insert({from, to}); }
  /// Cuts all links of one replica, both ways.
  void isolate(ReplicaId id);
  void heal() { cuts_.clear(); }

  /// Proposes at this replica. @return the index, if it is the leader.
  std::optional<LogIndex> propose(ReplicaId id, std::size_t bytes = 24);
  ReadTicket requestRead(ReplicaId id);
  void transfer(ReplicaId from, ReplicaId to);
  LogIndex change(ReplicaId leader, MembershipChangeKind kind, ReplicaId id, ReplicaId replaced = 0);
  void compact(ReplicaId id);
  /// Proposes this many entries at the leader. @return whether it applied them.
  bool commitMany(ReplicaId leader, std::size_t count);
  /// Proposes at the leader until an entry is applied by every listed replica.
  bool commitEverywhere(const std::vector<ReplicaId>& replicas);

  NetworkFaults faults;
  /// Sees every message sent; for tests.
  std::function<void(const wire::ConsensusMessageT&)> on_send;

 private:
  struct Event {
    ReplicaId replica = 0;
    /// The process that the event is for.
    std::uint64_t starts = 0;
    /// Nothing: the replica's oldest file operation finishes.
    std::optional<wire::ConsensusMessageT> message;
  };

  bool step(TimePoint limit);
  void handle(const Event& event);
  void deliver(SimulatedReplica& replica, const Event& event);
  void collect(ReplicaId id);
  void send(const wire::ConsensusMessageT& message);
  void schedule(Duration delay, Event event);
  void scheduleWrite(ReplicaId id);
  void apply(SimulatedReplica& replica, const wire::LogEntryT& entry);

  ConsensusOptions options_;
  RandomSource random_;
  TimePoint now_{std::chrono::hours(1)};
  std::map<ReplicaId, std::unique_ptr<SimulatedReplica>> replicas_;
  std::multimap<TimePoint, Event> events_;
  std::set<std::pair<ReplicaId, ReplicaId>> cuts_;
  ClusterChecker checker_;
  std::uint64_t next_ticket_ = 1;
  std::uint64_t next_command_ = 1;
};

}  // namespace cometstand::consensus

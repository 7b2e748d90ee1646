#include "simulated_cluster.h"

#include <algorithm>
#include <cstring>
#include <string_view>

namespace cometstand::consensus {
namespace {

using std::chrono::milliseconds;

std::uint64_t hashEntry(std::uint64_t state, const wire::LogEntryT& entry) {
  constexpr std::uint64_t kPrime = 1099511628211ULL;
  state = (state ^ entry.index) * kPrime;
  state = (state ^ entry.term) * kPrime;
  for (const auto byte : entry.data) state = (state ^ byte) * kPrime;
  return state;
}

std::vector<std::uint8_t> toBytes(std::uint64_t value, std::size_t size = sizeof(std::uint64_t)) {
  std::vector<std::uint8_t> bytes(std::max(size, sizeof(value)));
  std::memcpy(bytes.data(), &value, sizeof(value));
  return bytes;
}

wire::ReplicaT makeReplica(ReplicaId id) {
  wire::ReplicaT replica;
  replica.id = id;
  return replica;
}

}  // namespace

ConsensusOptions SimulatedCluster::testOptions() {
  ConsensusOptions options;
  options.segment_bytes = 4096;
  options.snapshot_after_log_bytes = 8192;
  options.entries_kept_after_snapshot = 8;
  options.max_entries_per_append = 4;
  options.snapshot_resend_interval = milliseconds(500);
  return options;
}

SimulatedCluster::SimulatedCluster(std::size_t voters, std::uint64_t seed, ConsensusOptions options)
    : options_(options), random_(seed) {
  wire::MembershipT membership;
  for (ReplicaId id = 1; id <= voters; ++id) {
    membership.voters.push_back(std::make_shared<wire::ReplicaT>(makeReplica(id)));
  }
  for (ReplicaId id = 1; id <= voters; ++id) {
    start(id);
    consensus(id).bootstrap(membership, {}, now_);
    processOutput(id);
    // Sync the bootstrap now: a crash before the sync would leave the data folder empty, and the replica
    // would have to be bootstrapped again.
    while (!at(id).disk.isIdle()) consensus(id).onFileWritten(at(id).disk.finishNext(), now_);
  }
}

void SimulatedCluster::start(ReplicaId id) {
  auto& replica = replicas_[id];
  if (!replica) replica = std::make_unique<SimulatedReplica>();
  ++replica->start_count;
  replica->applied_index = 0;
  replica->state = 0;
  replica->leadership = {};
  replica->write_is_scheduled = false;
  auto new_consensus =
      std::make_unique<Consensus>(options_, makeReplica(id), RandomSource(random_.uniform(0, UINT64_MAX)));
  new_consensus->recover(replica->disk, now_);
  replica->consensus = std::move(new_consensus);
  processOutput(id);
}

void SimulatedCluster::crash(ReplicaId id) {
  at(id).consensus.reset();
  at(id).disk.crash(random_);
  at(id).suspended_until = {};
}

void SimulatedCluster::holdDisk(ReplicaId id, bool held) {
  at(id).disk.is_blocked = held;
  scheduleWrite(id);
}

void SimulatedCluster::failDisk(ReplicaId id) {
  consensus(id).onFileFailed(runtime::WriteId(1), "no space left on device", now_);
  processOutput(id);
}

void SimulatedCluster::isolate(ReplicaId id) {
  for (const auto& [other, replica] : replicas_) {
    if (other == id) continue;
    blockLink(id, other);
    blockLink(other, id);
  }
}

std::vector<ReplicaId> SimulatedCluster::ids() const {
  std::vector<ReplicaId> result;
  for (const auto& [id, replica] : replicas_) result.push_back(id);
  return result;
}

void SimulatedCluster::runFor(Duration duration) {
  const TimePoint limit = now_ + duration;
  while (step(limit)) {
  }
  now_ = limit;
}

bool SimulatedCluster::runUntil(const std::function<bool()>& condition, Duration limit) {
  const TimePoint end = now_ + limit;
  while (!condition()) {
    if (!step(end)) return condition();
  }
  return true;
}

ReplicaId SimulatedCluster::waitForLeader(ReplicaId other_than) {
  ReplicaId leader = 0;
  runUntil([&] {
    for (const auto& [id, replica] : replicas_) {
      if (id == other_than || !replica->consensus || replica->leadership.role != Role::Leader) continue;
      std::size_t followers = 0;
      for (const auto& voter : replica->consensus->membership().voters) {
        const auto& other = *replicas_.at(voter->id);
        followers += other.leadership.leader == id && other.leadership.term == replica->leadership.term;
      }
      const bool has_committed_log = replica->consensus->commitIndex() == replica->consensus->lastIndex();
      if (has_committed_log && followers >= quorumSize(replica->consensus->membership())) leader = id;
    }
    return leader != 0;
  });
  return leader;
}

bool SimulatedCluster::step(TimePoint limit) {
  // Select the earliest of the next event and all timers. A suspended replica's timer expires when it
  // resumes.
  TimePoint next = events_.empty() ? TimePoint::max() : events_.begin()->first;
  ReplicaId timer = 0;
  for (const auto& [id, replica] : replicas_) {
    if (!replica->consensus) continue;
    const TimePoint due = replica->consensus->nextTimer();
    if (due == TimePoint::max() || std::max(due, replica->suspended_until) >= next) continue;
    next = std::max(due, replica->suspended_until);
    timer = id;
  }
  if (next > limit) return false;
  now_ = std::max(now_, next);
  if (timer != 0) {
    consensus(timer).onTimer(now_);
    processOutput(timer);
    return true;
  }
  const Event event = std::move(events_.begin()->second);
  events_.erase(events_.begin());
  handleEvent(event);
  return true;
}

void SimulatedCluster::handleEvent(const Event& event) {
  SimulatedReplica& replica = at(event.replica);
  const bool is_stale =
      !replica.consensus || (event.start_count != 0 && event.start_count != replica.start_count);
  if (is_stale) return;
  if (now_ < replica.suspended_until) {
    events_.emplace(replica.suspended_until, event);
    return;
  }
  deliver(replica, event);
  processOutput(event.replica);
}

void SimulatedCluster::deliver(SimulatedReplica& replica, const Event& event) {
  if (event.message) return replica.consensus->onMessage(*event.message, now_);
  replica.write_is_scheduled = false;
  if (replica.disk.is_blocked || replica.disk.isIdle()) return;
  replica.consensus->onFileWritten(replica.disk.finishNext(), now_);
}

void SimulatedCluster::processOutput(ReplicaId id) {
  SimulatedReplica& replica = at(id);
  Output output = replica.consensus->takeOutput();
  replica.consensus->checkInvariants();
  for (auto& write : output.writes) replica.disk.enqueue(std::move(write));
  scheduleWrite(id);
  for (const auto& message : output.messages) send(message);
  if (output.leadership) {
    replica.leadership = *output.leadership;
    checker_.onLeadership(id, replica.leadership);
  }
  if (output.installed_snapshot) {
    std::memcpy(&replica.state, output.installed_snapshot->state.data(), sizeof(replica.state));
    replica.applied_index = output.installed_snapshot->last_index;
    checker_.onSnapshot(replica.applied_index, replica.state);
  }
  for (const auto& entry : output.committed) apply(replica, *entry);
  for (const auto& read : output.reads) {
    checker_.onRead(read);
    replica.reads[read.ticket] = read;
  }
  if (output.quorum_round) checker_.onQuorumRound(*output.quorum_round);
  if (replica.consensus->snapshotDue()) compact(id);
}

void SimulatedCluster::apply(SimulatedReplica& replica, const wire::LogEntryT& entry) {
  replica.state = hashEntry(replica.state, entry);
  replica.applied_index = entry.index;
  checker_.onApplied(entry, replica.state, now_);
}

void SimulatedCluster::send(const wire::ConsensusMessageT& message) {
  checker_.onMessage(message);
  if (on_send) on_send(message);
  if (!replicas_.contains(message.to) || blocked_links_.contains({message.from, message.to})) return;
  const int copies = random_.chance(faults.duplication) ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    if (random_.chance(faults.loss)) continue;
    const auto max_delay = random_.chance(faults.long_delay) ? milliseconds(500) : milliseconds(4);
    schedule(random_.uniform(Duration(200), max_delay), {message.to, 0, message});
  }
}

void SimulatedCluster::schedule(Duration delay, Event event) {
  events_.emplace(now_ + delay, std::move(event));
}

void SimulatedCluster::scheduleWrite(ReplicaId id) {
  SimulatedReplica& replica = at(id);
  if (replica.write_is_scheduled || replica.disk.is_blocked || replica.disk.isIdle()) return;
  replica.write_is_scheduled = true;
  schedule(random_.uniform(Duration(100), milliseconds(8)), {id, replica.start_count, std::nullopt});
}

std::optional<LogIndex> SimulatedCluster::propose(ReplicaId id, std::size_t bytes) {
  const auto index = consensus(id).propose(toBytes(next_command_++, bytes), now_);
  processOutput(id);
  return index;
}

ReadRequestId SimulatedCluster::requestRead(ReplicaId id) {
  const ReadRequestId ticket{next_ticket_++};
  checker_.onReadRequested(ticket);
  consensus(id).requestRead(ticket, now_);
  processOutput(id);
  return ticket;
}

void SimulatedCluster::transfer(ReplicaId from, ReplicaId to) {
  consensus(from).transferLeadership(to, now_);
  processOutput(from);
}

LogIndex SimulatedCluster::change(ReplicaId leader, MembershipChangeKind kind, ReplicaId id,
                                  ReplicaId replaced) {
  MembershipChange change;
  change.kind = kind;
  change.replica = makeReplica(id);
  change.replaced = replaced;
  const LogIndex index = consensus(leader).changeMembership(change, now_);
  processOutput(leader);
  return index;
}

void SimulatedCluster::compact(ReplicaId id) {
  SimulatedReplica& replica = at(id);
  if (replica.applied_index == 0) return;
  replica.consensus->compact(replica.applied_index, toBytes(replica.state));
  processOutput(id);
}

bool SimulatedCluster::commitEntries(ReplicaId leader, std::size_t count) {
  constexpr std::size_t kEntryBytes = 200;
  const LogIndex target = consensus(leader).lastIndex() + count;
  for (std::size_t i = 0; i < count; ++i) propose(leader, kEntryBytes);
  return runUntil([&] { return at(leader).applied_index >= target; });
}

bool SimulatedCluster::commitOnAll(const std::vector<ReplicaId>& replicas) {
  constexpr int kMaxAttempts = 30;
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    std::optional<LogIndex> index;
    for (const ReplicaId id : replicas) {
      if (isUp(id) && at(id).leadership.role == Role::Leader) index = propose(id);
    }
    const auto has_applied = [&](ReplicaId id) { return isUp(id) && at(id).applied_index >= *index; };
    // An entry may be lost if its leader is replaced; the next attempt then proposes another one.
    const bool is_applied =
        runUntil([&] { return index && std::all_of(replicas.begin(), replicas.end(), has_applied); },
                 std::chrono::seconds(2));
    if (is_applied) return true;
  }
  return false;
}

}  // namespace cometstand::consensus

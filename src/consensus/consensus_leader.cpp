#include <algorithm>
#include <memory>
#include <utility>

#include "consensus/consensus.h"
#include "consensus/messages.h"

/// The leader: log replication (section 5.3 of the paper), commitment (section 5.4.2 of the paper), heartbeat
/// rounds and reads (section 8 of the paper; section 6.4 of the dissertation).
namespace cometstand::consensus {
namespace {

constexpr runtime::WriteId kNoWrite{};

}  // namespace

void Consensus::becomeLeader() {
  setRole(Role::Leader, self_.id);
  leader_state_.emplace();
  updateFollowers();
  // Committing a no-op of the current term also commits the entries of earlier leaders (section 8 of the
  // paper).
  leader_state_->term_start_index = appendAsLeader(wire::EntryKind::Noop, {});
  beginRound();
}

void Consensus::failReads() {
  for (const auto& read : leader_state_->reads) output_.reads.push_back({read.ticket, false, 0});
  leader_state_->reads.clear();
}

LogIndex Consensus::appendAsLeader(wire::EntryKind kind, std::vector<std::uint8_t> data) {
  wire::LogEntryT entry;
  entry.term = term_;
  entry.index = log_.lastIndex() + 1;
  entry.kind = kind;
  entry.data = std::move(data);
  log_.append(std::make_shared<const wire::LogEntryT>(std::move(entry)));
  return log_.lastIndex();
}

std::optional<LogIndex> Consensus::propose(std::vector<std::uint8_t> command, TimePoint now) {
  if (role_ == Role::Failed) return std::nullopt;
  beginEvent(now);
  if (role_ != Role::Leader || leader_state_->transfer) return std::nullopt;
  return appendAsLeader(wire::EntryKind::Command, std::move(command));
}

void Consensus::requestRead(ReadRequestId ticket, TimePoint now) {
  if (role_ != Role::Failed) beginEvent(now);
  if (role_ != Role::Leader) {
    output_.reads.push_back({ticket, false, 0});
    return;
  }
  // Until an entry of the current term is committed, the commit index may be lower than that of an earlier
  // leader.
  const LogIndex read_index = std::max(commit_index_, leader_state_->term_start_index);
  leader_state_->reads.push_back({ticket, leader_state_->rounds.current() + 1, read_index});
}

void Consensus::beginRound() {
  leader_state_->rounds.begin(now_, commit_index_);
  leader_state_->next_heartbeat = now_ + options_.heartbeat_interval;
  for (auto& [id, progress] : leader_state_->followers) {
    progress.paused = false;
    const bool sends_entries = progress.mode == ReplicationMode::Probe && progress.next <= log_.lastIndex();
    // A probe with entries also serves as the heartbeat.
    if (!sends_entries) sendAppend(id, progress, false);
    replicate(id, progress);
  }
  if (leader_state_->transfer) continueTransfer();
}

void Consensus::replicateToAll() {
  for (auto& [id, progress] : leader_state_->followers) replicate(id, progress);
}

void Consensus::replicate(ReplicaId id, FollowerProgress& progress) {
  const bool is_in_memory = progress.next >= log_.firstIndex();
  if (!is_in_memory) progress.mode = ReplicationMode::Snapshot;
  switch (progress.mode) {
    case ReplicationMode::Probe:
      if (progress.paused || progress.next > log_.lastIndex()) return;
      sendAppend(id, progress, true);
      progress.paused = true;
      return;
    case ReplicationMode::Pipeline:
      while (progress.next <= log_.lastIndex() &&
             progress.in_flight.size() < options_.max_appends_in_flight) {
        sendAppend(id, progress, true);
      }
      return;
    case ReplicationMode::Snapshot:
      sendSnapshot(id, progress);
      return;
  }
}

void Consensus::sendAppend(ReplicaId id, FollowerProgress& progress, bool with_entries) {
  wire::AppendRequestT request;
  request.term = term_;
  request.leader = self_.id;
  request.round = leader_state_->rounds.current();
  const bool is_in_memory = progress.next >= log_.firstIndex();
  // A follower that needs a snapshot receives a heartbeat with previous index 0, which always matches.
  if (is_in_memory && progress.mode != ReplicationMode::Snapshot) {
    request.previous_index = progress.next - 1;
    request.previous_term = *log_.termAt(request.previous_index);
    request.commit_index = commit_index_;
  }
  if (with_entries) {
    for (const auto& entry :
         log_.slice(progress.next, options_.max_entries_per_append, options_.max_bytes_per_append)) {
      // The generated type holds pointers to non-const entries; entries are never modified after creation.
      request.entries.push_back(std::const_pointer_cast<wire::LogEntryT>(entry));
    }
    if (progress.mode == ReplicationMode::Pipeline) {
      progress.next += request.entries.size();
      progress.in_flight.push_back(progress.next - 1);
    }
  }
  // Sent without waiting for the leader's own disk write (section 10.2.1 of the dissertation).
  send(id, std::move(request), kNoWrite);
}

void Consensus::sendSnapshot(ReplicaId id, FollowerProgress& progress) {
  const auto sent_at = progress.snapshot_sent_at;
  if (sent_at && now_ < *sent_at + options_.snapshot_resend_interval) return;
  progress.snapshot_sent_at = now_;
  wire::SnapshotRequestT request;
  request.term = term_;
  request.leader = self_.id;
  request.round = leader_state_->rounds.current();
  request.snapshot = std::const_pointer_cast<wire::ConsensusSnapshotT>(log_.snapshot());
  send(id, std::move(request), kNoWrite);
}

bool Consensus::isExpectedSender(const wire::ConsensusMessageT& message) const {
  const auto* replica = findReplica(log_.membership(), message.from);
  if (replica == nullptr) return false;
  return isLearner(log_.membership(), message.from) || replica->incarnation == message.from_incarnation;
}

FollowerProgress* Consensus::acceptReply(const wire::ConsensusMessageT& message, Term term,
                                         std::uint64_t round) {
  if (term > term_) adoptTerm(term);
  if (role_ != Role::Leader || term != term_ || !isExpectedSender(message)) return nullptr;
  FollowerProgress& progress = leader_state_->followers.at(message.from);
  if (progress.incarnation != message.from_incarnation) progress.onNewIncarnation(message.from_incarnation);
  const auto reply_round = leader_state_->rounds.find(round);
  if (reply_round && reply_round->number > progress.acked_round.number) progress.acked_round = *reply_round;
  return &progress;
}

void Consensus::handleAppendReply(const wire::ConsensusMessageT& message,
                                  const wire::AppendReplyT& append_reply) {
  auto* progress = acceptReply(message, append_reply.term, append_reply.round);
  if (progress == nullptr) return;
  if (append_reply.success && append_reply.match_index <= log_.lastIndex()) {
    progress->onMatch(append_reply.match_index);
  } else if (!append_reply.success) {
    progress->onMismatch(append_reply.match_index, log_.lastIndex());
  }
  const bool is_in_memory = progress->next >= log_.firstIndex();
  if (progress->mode == ReplicationMode::Snapshot && is_in_memory) progress->mode = ReplicationMode::Probe;
  updateLeaderState();
}

void Consensus::handleSnapshotReply(const wire::ConsensusMessageT& message,
                                    const wire::SnapshotReplyT& snapshot_reply) {
  auto* progress = acceptReply(message, snapshot_reply.term, snapshot_reply.round);
  if (progress == nullptr || snapshot_reply.match_index > log_.lastIndex()) return;
  progress->onMatch(snapshot_reply.match_index);
  progress->snapshot_sent_at.reset();
  if (progress->next >= log_.firstIndex()) progress->mode = ReplicationMode::Probe;
  updateLeaderState();
}

void Consensus::updateLeaderState() {
  commitByQuorum();
  if (role_ != Role::Leader) return;
  finishReplacement();
  confirmRounds();
  resolveReads();
  if (leader_state_->transfer) continueTransfer();
}

void Consensus::commitByQuorum() {
  // The leader counts itself only for entries that are synced to its own disk.
  const auto index =
      quorumOf<LogIndex>(log_.syncedIndex(), [](const auto& progress) { return progress.match; });
  // Only entries of the current term are committed by counting replicas (section 5.4.2 of the paper).
  if (index > commit_index_ && log_.termAt(index) == term_) advanceCommit(index);
}

void Consensus::confirmRounds() {
  const auto number = quorumOf<std::uint64_t>(
      leader_state_->rounds.current(), [](const auto& progress) { return progress.acked_round.number; });
  if (number <= leader_state_->quorum_round_number) return;
  leader_state_->quorum_round_number = number;
  const auto round = leader_state_->rounds.find(number);
  // Until the leader has committed an entry in its term, its commit index may be lower than that of an
  // earlier leader.
  const bool has_committed_in_term = commit_index_ >= leader_state_->term_start_index;
  if (round && has_committed_in_term) output_.quorum_round = {term_, number, round->began_at, commit_index_};
}

void Consensus::resolveReads() {
  auto& reads = leader_state_->reads;
  while (!reads.empty() && reads.front().round <= leader_state_->quorum_round_number &&
         reads.front().read_index <= commit_index_) {
    output_.reads.push_back({reads.front().ticket, true, reads.front().read_index});
    reads.pop_front();
  }
}

bool Consensus::hasQuorum() const {
  // Contact is dated by the start of the acknowledged round, not by the arrival of the reply: replies that
  // were queued while this process was suspended do not count as recent contact.
  const auto quorum_contact_at =
      quorumOf<TimePoint>(now_, [](const auto& progress) { return progress.acked_round.began_at; });
  return now_ <= quorum_contact_at + options_.election_timeout_max;
}

std::vector<FollowerStatus> Consensus::followers() const {
  std::vector<FollowerStatus> result;
  if (role_ != Role::Leader) return result;
  for (const auto& [id, progress] : leader_state_->followers) {
    // began_at of a follower that has not replied yet is the time when its progress was created, and its
    // round number is 0; such a follower is not reported as active.
    const bool is_active = progress.acked_round.number != 0 &&
                           now_ <= progress.acked_round.began_at + options_.election_timeout_max;
    result.push_back({id, isLearner(log_.membership(), id), progress.match, is_active, isCaughtUp(progress)});
  }
  return result;
}

}  // namespace cometstand::consensus

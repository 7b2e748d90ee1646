#include <algorithm>
#include <memory>
#include <utility>

#include "consensus/consensus.h"
#include "consensus/messages.h"

/// The leader's side: replication (section 5.3 of the paper), commitment (5.4.2), rounds and reads (section
/// 8; section 6.4 of the dissertation).
namespace cometstand::consensus {
namespace {

constexpr runtime::WriteId kNoWrite{};

}  // namespace

void Consensus::becomeLeader() {
  setRole(Role::Leader, self_.id);
  leader_state_.emplace();
  updateFollowers();
  // Section 8 of the paper: an entry of the own term commits what earlier leaders left behind.
  leader_state_->first_index = appendAsLeader(wire::EntryKind::Noop, {});
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

void Consensus::requestRead(ReadTicket ticket, TimePoint now) {
  if (role_ != Role::Failed) beginEvent(now);
  if (role_ != Role::Leader) {
    output_.reads.push_back({ticket, false, 0});
    return;
  }
  // Until an entry of the own term is committed, the commit index may lag behind an earlier leader's.
  const LogIndex read_index = std::max(commit_index_, leader_state_->first_index);
  leader_state_->reads.push_back({ticket, leader_state_->rounds.current() + 1, read_index});
}

void Consensus::beginRound() {
  leader_state_->rounds.begin(now_, commit_index_);
  leader_state_->next_heartbeat = now_ + options_.heartbeat_interval;
  for (auto& [id, progress] : leader_state_->followers) {
    progress.paused = false;
    const bool sends_entries = progress.mode == ReplicationMode::Probe && progress.next <= log_.lastIndex();
    // A probe with entries is the heartbeat as well.
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
  // A follower that needs a snapshot is only told that this leader is there: index 0 always matches.
  if (is_in_memory && progress.mode != ReplicationMode::Snapshot) {
    request.previous_index = progress.next - 1;
    request.previous_term = *log_.termAt(request.previous_index);
    request.commit_index = commit_index_;
  }
  if (with_entries) {
    for (const auto& entry :
         log_.slice(progress.next, options_.max_entries_per_append, options_.max_bytes_per_append)) {
      // The generated type has no pointer to const; entries are never changed once made.
      request.entries.push_back(std::const_pointer_cast<wire::LogEntryT>(entry));
    }
    if (progress.mode == ReplicationMode::Pipeline) {
      progress.next += request.entries.size();
      progress.in_flight.push_back(progress.next - 1);
    }
  }
  // Sent while the leader's own write is under way (section 10.2.1 of the dissertation).
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
  const auto answered = leader_state_->rounds.find(round);
  if (answered && answered->number > progress.acked_round.number) progress.acked_round = *answered;
  return &progress;
}

void Consensus::handleAppendReply(const wire::ConsensusMessageT& message, const wire::AppendReplyT& answer) {
  auto* progress = acceptReply(message, answer.term, answer.round);
  if (progress == nullptr) return;
  if (answer.success && answer.match_index <= log_.lastIndex()) {
    progress->onMatch(answer.match_index);
  } else if (!answer.success) {
    progress->onMismatch(answer.match_index, log_.lastIndex());
  }
  const bool has_base = progress->next >= log_.firstIndex();
  if (progress->mode == ReplicationMode::Snapshot && has_base) progress->mode = ReplicationMode::Probe;
  updateLeader();
}

void Consensus::handleSnapshotReply(const wire::ConsensusMessageT& message,
                                    const wire::SnapshotReplyT& answer) {
  auto* progress = acceptReply(message, answer.term, answer.round);
  if (progress == nullptr || answer.match_index > log_.lastIndex()) return;
  progress->onMatch(answer.match_index);
  progress->snapshot_sent_at.reset();
  if (progress->next >= log_.firstIndex()) progress->mode = ReplicationMode::Probe;
  updateLeader();
}

void Consensus::updateLeader() {
  commitByQuorum();
  if (role_ != Role::Leader) return;
  finishReplacement();
  confirmRounds();
  resolveReads();
  if (leader_state_->transfer) continueTransfer();
}

void Consensus::commitByQuorum() {
  // The leader counts itself only for what is on its own disk.
  const auto index =
      quorumOf<LogIndex>(log_.syncedIndex(), [](const auto& progress) { return progress.match; });
  // Section 5.4.2: only entries of the own term are committed by counting.
  if (index > commit_index_ && log_.termAt(index) == term_) advanceCommit(index);
}

void Consensus::confirmRounds() {
  const auto number = quorumOf<std::uint64_t>(
      leader_state_->rounds.current(), [](const auto& progress) { return progress.acked_round.number; });
  if (number <= leader_state_->quorum_round) return;
  leader_state_->quorum_round = number;
  const auto round = leader_state_->rounds.find(number);
  // Before that the commit index may lag behind an earlier leader's.
  const bool knows_commit_index = commit_index_ >= leader_state_->first_index;
  if (round && knows_commit_index) output_.quorum_round = {term_, number, round->began_at, commit_index_};
}

void Consensus::resolveReads() {
  auto& reads = leader_state_->reads;
  while (!reads.empty() && reads.front().round <= leader_state_->quorum_round &&
         reads.front().read_index <= commit_index_) {
    output_.reads.push_back({reads.front().ticket, true, reads.front().read_index});
    reads.pop_front();
  }
}

bool Consensus::hasQuorum() const {
  // Answers count from when their round was sent: those that waited while this process was frozen are old.
  const auto heard_at =
      quorumOf<TimePoint>(now_, [](const auto& progress) { return progress.acked_round.began_at; });
  return now_ <= heard_at + options_.election_timeout_max;
}

std::vector<FollowerStatus> Consensus::followers() const {
  std::vector<FollowerStatus> result;
  if (role_ != Role::Leader) return result;
  for (const auto& [id, progress] : leader_state_->followers) {
    // A new leader has heard nobody yet, though it gives each an election timeout.
    const bool is_active = progress.acked_round.number != 0 &&
                           now_ <= progress.acked_round.began_at + options_.election_timeout_max;
    result.push_back({id, isLearner(log_.membership(), id), progress.match, is_active});
  }
  return result;
}

}  // namespace cometstand::consensus

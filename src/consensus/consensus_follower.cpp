#include <algorithm>
#include <memory>

#include "base/event_log.h"
#include "consensus/consensus.h"
#include "consensus/events.h"
#include "consensus/invariant.h"
#include "consensus/messages.h"

/// The receiver's side of log replication (section 5.3 of the paper) and of snapshots (section 7).
namespace cometstand::consensus {
namespace {

/// Entries of a request carry the indexes that follow previous_index.
bool isWellFormed(const wire::AppendRequestT& request) {
  LogIndex index = request.previous_index;
  return std::all_of(request.entries.begin(), request.entries.end(),
                     [&index](const auto& entry) { return entry != nullptr && entry->index == ++index; });
}

}  // namespace

bool Consensus::followLeader(Term term, ReplicaId leader) {
  if (term < term_) return false;
  if (term > term_) adoptTerm(term);
  checkInvariant(role_ != Role::Leader, "a term has at most one leader (section 5.2)");
  if (role_ == Role::Joining) join();
  setRole(Role::Follower, leader);
  last_leader_contact_ = now_;
  resetElectionDeadline();
  return true;
}

void Consensus::join() {
  logEvent(kJoined, {{"replica", self_.id}, {"term", term_}});
  saveHardState();
}

void Consensus::handleAppendRequest(const wire::ConsensusMessageT& message,
                                    const wire::AppendRequestT& request) {
  if (!isWellFormed(request)) {
    logEvent(kMalformedMessage, {{"replica", self_.id}, {"peer", message.from}});
    return;
  }
  wire::AppendReplyT answer;
  answer.follower = self_.id;
  answer.round = request.round;
  if (!followLeader(request.term, request.leader)) {
    answer.term = term_;
    return reply(message, answer, hard_state_write_);
  }
  answer.term = term_;
  // Entries that left memory are committed, so they match.
  const bool matches = request.previous_index < log_.firstIndex() ||
                       log_.termAt(request.previous_index) == request.previous_term;
  if (!matches) {
    answer.match_index = log_.conflictHint(request.previous_index);
    return reply(message, answer, hard_state_write_);
  }
  storeEntries(request);
  const LogIndex matched = request.previous_index + request.entries.size();
  advanceCommit(std::min(request.commit_index, matched));
  answer.success = true;
  if (request.entries.empty()) {
    // A heartbeat is answered at once, also while the disk is slow; it acknowledges what is synced only.
    answer.match_index = std::min(matched, log_.syncedIndex());
    reply(message, answer, hard_state_write_);
  } else {
    answer.match_index = matched;
    reply(message, answer, storage_.lastWrite());
  }
}

void Consensus::storeEntries(const wire::AppendRequestT& request) {
  for (const auto& entry : request.entries) {
    if (entry->index < log_.firstIndex()) continue;
    const auto own_term = log_.termAt(entry->index);
    if (own_term == entry->term) continue;
    if (own_term) {
      checkInvariant(entry->index > commit_index_, "committed entries are never replaced (section 5.4)");
      log_.truncateFrom(entry->index);
    }
    log_.append(entry);
  }
}

void Consensus::handleSnapshotRequest(const wire::ConsensusMessageT& message,
                                      const wire::SnapshotRequestT& request) {
  if (!request.snapshot || !request.snapshot->membership) {
    logEvent(kMalformedMessage, {{"replica", self_.id}, {"peer", message.from}});
    return;
  }
  wire::SnapshotReplyT answer;
  answer.follower = self_.id;
  answer.round = request.round;
  if (followLeader(request.term, request.leader)) {
    const LogIndex last_index = request.snapshot->last_index;
    if (last_index > commit_index_) {
      log_.install(request.snapshot);
      commit_index_ = last_index;
      delivered_index_ = last_index;
      output_.committed.clear();
      output_.installed_snapshot = request.snapshot;
      logEvent(kSnapshotInstalled, {{"replica", self_.id}, {"last_index", last_index}});
    }
    answer.match_index = last_index;
  }
  answer.term = term_;
  reply(message, answer, storage_.lastWrite());
}

}  // namespace cometstand::consensus

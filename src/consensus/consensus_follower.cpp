#include <algorithm>
#include <memory>

#include "base/event_log.h"
#include "consensus/consensus.h"
#include "consensus/events.h"
#include "consensus/invariant.h"
#include "consensus/messages.h"

/// Handling of append requests (section 5.3 of the paper) and snapshot requests (section 7 of the paper) by
/// the receiver.
namespace cometstand::consensus {
namespace {

/// @return true if the entries have consecutive indexes that start at previous_index + 1.
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
  wire::AppendReplyT append_reply;
  append_reply.follower = self_.id;
  append_reply.round = request.round;
  if (!followLeader(request.term, request.leader)) {
    append_reply.term = term_;
    return reply(message, append_reply, hard_state_write_);
  }
  append_reply.term = term_;
  // Entries that are no longer in memory are committed, so they match the log of any leader.
  const bool matches = request.previous_index < log_.firstIndex() ||
                       log_.termAt(request.previous_index) == request.previous_term;
  if (!matches) {
    append_reply.match_index = log_.conflictHint(request.previous_index);
    return reply(message, append_reply, hard_state_write_);
  }
  storeEntries(request);
  const LogIndex matched = request.previous_index + request.entries.size();
  advanceCommit(std::min(request.commit_index, matched));
  append_reply.success = true;
  if (request.entries.empty()) {
    // The reply to a heartbeat does not wait for pending writes, so that a slow disk does not delay it; it
    // acknowledges synced entries only.
    append_reply.match_index = std::min(matched, log_.syncedIndex());
    reply(message, append_reply, hard_state_write_);
  } else {
    append_reply.match_index = matched;
    reply(message, append_reply, storage_.lastWrite());
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
  wire::SnapshotReplyT snapshot_reply;
  snapshot_reply.follower = self_.id;
  snapshot_reply.round = request.round;
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
    snapshot_reply.match_index = last_index;
  }
  snapshot_reply.term = term_;
  reply(message, snapshot_reply, storage_.lastWrite());
}

}  // namespace cometstand::consensus

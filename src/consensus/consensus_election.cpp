#include "consensus/consensus.h"
#include "consensus/messages.h"

/// Elections (sections 5.2 and 5.4 of the paper) with pre-vote (section 9.6 of the dissertation). Voters in
/// recent contact with a leader ignore candidates (section 4.2.3 of the dissertation).
namespace cometstand::consensus {
namespace {

constexpr runtime::WriteId kNoWrite{};

}  // namespace

bool Consensus::hasRecentLeaderContact() const {
  // beginEvent() has already made a leader without a quorum step down.
  if (role_ == Role::Leader) return true;
  return last_leader_contact_ && now_ < *last_leader_contact_ + options_.election_timeout_min;
}

void Consensus::startPreVote() {
  resetPreVoteDeadline();
  if (!isVoter(log_.membership(), self_.id)) {
    // A learner starts no election, but must no longer report a leader that has timed out.
    setRole(Role::Follower, 0);
    return;
  }
  setRole(Role::PreCandidate, 0);
  votes_ = {self_.id};
  wire::VoteRequestT request;
  request.term = term_ + 1;
  request.pre_vote = true;
  requestVotes(request, kNoWrite);
  if (votes_.size() >= quorumSize(log_.membership())) startElection(false);
}

void Consensus::startElection(bool is_transfer) {
  resetElectionDeadline();
  setRole(Role::Candidate, 0);
  outbox_.dropAcknowledgements();
  ++term_;
  voted_for_ = self_.id;
  votes_ = {self_.id};
  saveHardState();
  wire::VoteRequestT request;
  request.term = term_;
  request.transfer = is_transfer;
  // Vote requests are sent only after the candidate's own vote is synced to disk.
  requestVotes(request, hard_state_write_);
}

void Consensus::requestVotes(const wire::VoteRequestT& request, runtime::WriteId after) {
  wire::VoteRequestT filled = request;
  filled.candidate = self_.id;
  filled.last_log_index = log_.lastIndex();
  filled.last_log_term = log_.lastTerm();
  for (const auto& voter : log_.membership().voters) {
    if (voter->id != self_.id) send(voter->id, filled, after);
  }
}

void Consensus::countVotes() {
  const bool own_vote_is_synced = synced_write_ >= hard_state_write_;
  if (own_vote_is_synced && votes_.size() >= quorumSize(log_.membership())) becomeLeader();
}

void Consensus::handlePreVoteRequest(const wire::ConsensusMessageT& message,
                                     const wire::VoteRequestT& request) {
  const bool granted = request.term > term_ && !hasRecentLeaderContact() &&
                       log_.isUpToDate(request.last_log_index, request.last_log_term);
  wire::VoteReplyT vote;
  vote.term = granted ? request.term : term_;
  vote.voter = self_.id;
  vote.granted = granted;
  vote.pre_vote = true;
  reply(message, vote, hard_state_write_);
}

void Consensus::handleVoteRequest(const wire::ConsensusMessageT& message, const wire::VoteRequestT& request) {
  if (request.term > term_) {
    if (hasRecentLeaderContact() && !request.transfer) return;
    adoptTerm(request.term);
  }
  const bool is_vote_available = voted_for_ == 0 || voted_for_ == request.candidate;
  const bool granted = request.term == term_ && is_vote_available &&
                       log_.isUpToDate(request.last_log_index, request.last_log_term);
  if (granted && voted_for_ == 0) {
    voted_for_ = request.candidate;
    saveHardState();
  }
  if (granted) resetElectionDeadline();
  wire::VoteReplyT vote;
  vote.term = term_;
  vote.voter = self_.id;
  vote.granted = granted;
  reply(message, vote, hard_state_write_);
}

void Consensus::handleVoteReply(const wire::ConsensusMessageT& message, const wire::VoteReplyT& vote) {
  const bool is_granted_pre_vote = vote.pre_vote && vote.granted;
  if (vote.term > term_ && !is_granted_pre_vote) return adoptTerm(vote.term);
  const bool counts = vote.granted && isVoter(log_.membership(), message.from) && isExpectedSender(message);
  if (!counts) return;
  if (vote.pre_vote && role_ == Role::PreCandidate && vote.term == term_ + 1) {
    votes_.insert(message.from);
    if (votes_.size() >= quorumSize(log_.membership())) startElection(false);
  } else if (!vote.pre_vote && role_ == Role::Candidate && vote.term == term_) {
    votes_.insert(message.from);
    countVotes();
  }
}

void Consensus::handleTimeoutNow(const wire::TimeoutNowT& request) {
  const bool is_from_leader = request.term == term_ && role_ == Role::Follower && leader_ == request.leader;
  if (is_from_leader && isVoter(log_.membership(), self_.id)) startElection(true);
}

}  // namespace cometstand::consensus

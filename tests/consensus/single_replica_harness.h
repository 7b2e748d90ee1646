#pragma once

#include <memory>
#include <utility>
#include <vector>

#include "consensus/consensus.h"
#include "simulated_cluster.h"
#include "simulated_disk.h"

namespace cometstand::consensus {

/// Runs replica 1 of a three-voter cluster; the test constructs the messages of the other two voters.
class SingleReplicaHarness {
 public:
  SingleReplicaHarness() : consensus_(SimulatedCluster::testOptions(), member(1), RandomSource(1)) {
    consensus_.recover(disk, now);
    wire::MembershipT membership;
    for (const ReplicaId id : {1, 2, 3}) {
      membership.voters.push_back(std::make_shared<wire::ReplicaT>(member(id)));
    }
    consensus_.bootstrap(membership, {}, now);
    runUntilIdle();
  }

  /// Processes outputs and completes file operations until none is pending; completes none while the disk is
  /// blocked.
  void runUntilIdle() {
    do {
      if (!disk.isIdle() && !disk.is_blocked) consensus_.onFileWritten(disk.finishNext(), now);
      Output output = consensus_.takeOutput();
      for (auto& write : output.writes) disk.enqueue(std::move(write));
      for (auto& message : output.messages) sent.push_back(std::move(message));
      reads.insert(reads.end(), output.reads.begin(), output.reads.end());
    } while (!disk.isIdle() && !disk.is_blocked);
  }

  template <typename Body>
  void receive(ReplicaId from, Body body) {
    wire::ConsensusMessageT message;
    message.from = from;
    message.from_incarnation = peer_incarnation;
    message.to = 1;
    message.body.Set(std::move(body));
    consensus_.onMessage(message, now);
    runUntilIdle();
  }

  void receiveVote(ReplicaId from, Term term, bool pre_vote) {
    wire::VoteReplyT vote;
    vote.term = term;
    vote.voter = from;
    vote.granted = true;
    vote.pre_vote = pre_vote;
    receive(from, vote);
  }

  void receiveAck(ReplicaId from, LogIndex match, std::uint64_t round) {
    wire::AppendReplyT append_reply;
    append_reply.term = consensus_.leadership().term;
    append_reply.follower = from;
    append_reply.success = true;
    append_reply.match_index = match;
    append_reply.round = round;
    receive(from, append_reply);
  }

  /// Advances the time to the next timer, the election timeout; the replica then requests pre-votes.
  void expireNextTimer() {
    now = consensus_.nextTimer();
    consensus_.onTimer(now);
    runUntilIdle();
  }

  /// Makes the replica win an election with the vote of replica 2.
  void becomeLeader() {
    expireNextTimer();
    const Term term = consensus_.leadership().term + 1;
    receiveVote(2, term, true);
    receiveVote(2, term, false);
  }

  /// @return the messages of one type sent since the last call. Messages of other types are discarded.
  template <typename Body>
  std::vector<Body> takeSent(const Body* (wire::ConsensusBodyUnion::*as)() const) {
    std::vector<Body> result;
    for (const auto& message : sent) {
      if (const auto* body = (message.body.*as)()) result.push_back(*body);
    }
    sent.clear();
    return result;
  }

  Consensus& operator*() { return consensus_; }
  Consensus* operator->() { return &consensus_; }

  SimulatedDisk disk;
  TimePoint now{std::chrono::hours(1)};
  /// Data folder incarnation in the messages of the other two voters; the membership expects 0.
  std::uint64_t peer_incarnation = 0;
  std::vector<wire::ConsensusMessageT> sent;
  std::vector<ReadResult> reads;

 private:
  static wire::ReplicaT member(ReplicaId id) {
    wire::ReplicaT replica;
    replica.id = id;
    return replica;
  }

  Consensus consensus_;
};

}  // namespace cometstand::consensus

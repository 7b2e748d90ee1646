#include "consensus/membership.h"

#include <fmt/format.h>

#include <memory>
#include <set>

#include "base/error.h"

namespace cometstand::consensus {
namespace {

using ReplicaList = std::vector<std::shared_ptr<wire::ReplicaT>>;

ReplicaList::const_iterator find(const ReplicaList& replicas, ReplicaId id) {
  return std::find_if(replicas.begin(), replicas.end(),
                      [id](const auto& replica) { return replica->id == id; });
}

bool contains(const ReplicaList& replicas, ReplicaId id) { return find(replicas, id) != replicas.end(); }

void addLearner(wire::MembershipT& membership, const wire::ReplicaT& replica) {
  if (findReplica(membership, replica.id) != nullptr) {
    throw Error(ErrorKind::Conflict, fmt::format("replica {} is a member already", replica.id),
                "choose an id that was never used");
  }
  auto learner = std::make_shared<wire::ReplicaT>(replica);
  learner->incarnation = 0;
  membership.learners.push_back(std::move(learner));
}

void promoteLearner(wire::MembershipT& membership, ReplicaId id, std::uint64_t incarnation) {
  const auto learner = find(membership.learners, id);
  if (learner == membership.learners.end()) {
    throw Error(ErrorKind::NotFound, fmt::format("replica {} is not a learner", id),
                "add it as a learner first");
  }
  auto voter = std::make_shared<wire::ReplicaT>(**learner);
  voter->incarnation = incarnation;
  membership.learners.erase(learner);
  membership.voters.push_back(std::move(voter));
}

void requireVoterLeft(const wire::MembershipT& membership) {
  if (!membership.voters.empty()) return;
  throw Error(ErrorKind::Invalid, "the last voter cannot be removed", "promote another replica first");
}

void demoteVoter(wire::MembershipT& membership, ReplicaId id) {
  const auto voter = find(membership.voters, id);
  if (voter == membership.voters.end()) {
    throw Error(ErrorKind::NotFound, fmt::format("replica {} is not a voter", id),
                "name a voter of the membership");
  }
  const wire::ReplicaT replica = **voter;
  membership.voters.erase(voter);
  requireVoterLeft(membership);
  addLearner(membership, replica);
}

void removeReplica(wire::MembershipT& membership, ReplicaId id) {
  if (findReplica(membership, id) == nullptr) {
    throw Error(ErrorKind::NotFound, fmt::format("replica {} is not a member", id),
                "name a voter or learner of the membership");
  }
  std::erase_if(membership.learners, [id](const auto& replica) { return replica->id == id; });
  std::erase_if(membership.voters, [id](const auto& replica) { return replica->id == id; });
  if (membership.replaced == id) membership.replaced = 0;
  requireVoterLeft(membership);
}

}  // namespace

std::vector<std::uint8_t> encodeMembership(const wire::MembershipT& membership) {
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(wire::Membership::Pack(builder, &membership));
  return {builder.GetBufferPointer(), builder.GetBufferPointer() + builder.GetSize()};
}

wire::MembershipT decodeMembership(const std::vector<std::uint8_t>& bytes) {
  flatbuffers::Verifier verifier(bytes.data(), bytes.size());
  if (!verifier.VerifyBuffer<wire::Membership>(nullptr)) {
    throw Error(ErrorKind::Corrupt, "a membership log entry is not a valid Membership table",
                "start the replica with an empty folder under a new id and let it replace this one");
  }
  wire::MembershipT membership;
  flatbuffers::GetRoot<wire::Membership>(bytes.data())->UnPackTo(&membership);
  return membership;
}

bool isVoter(const wire::MembershipT& membership, ReplicaId id) { return contains(membership.voters, id); }

bool isLearner(const wire::MembershipT& membership, ReplicaId id) {
  return contains(membership.learners, id);
}

const wire::ReplicaT* findReplica(const wire::MembershipT& membership, ReplicaId id) {
  for (const auto* replicas : {&membership.voters, &membership.learners}) {
    const auto replica = find(*replicas, id);
    if (replica != replicas->end()) return replica->get();
  }
  return nullptr;
}

std::size_t quorumSize(const wire::MembershipT& membership) { return membership.voters.size() / 2 + 1; }

wire::MembershipT applyChange(const wire::MembershipT& membership, const MembershipChange& change,
                              std::uint64_t reported_incarnation) {
  wire::MembershipT result = membership;
  switch (change.kind) {
    case MembershipChangeKind::AddLearner:
      addLearner(result, change.replica);
      break;
    case MembershipChangeKind::ReplaceVoter:
      if (!isVoter(membership, change.replaced)) {
        throw Error(ErrorKind::NotFound, fmt::format("replica {} is not a voter", change.replaced),
                    "name the voter that is to be replaced");
      }
      promoteLearner(result, change.replica.id, reported_incarnation);
      result.replaced = change.replaced;
      break;
    case MembershipChangeKind::PromoteLearner:
      promoteLearner(result, change.replica.id, reported_incarnation);
      break;
    case MembershipChangeKind::RemoveReplica:
      removeReplica(result, change.replica.id);
      break;
    case MembershipChangeKind::DemoteVoter:
      demoteVoter(result, change.replica.id);
      break;
  }
  checkMembership(result);
  return result;
}

void checkMembership(const wire::MembershipT& membership) {
  if (membership.voters.empty()) {
    throw Error(ErrorKind::Invalid, "the membership has no voter", "name at least one voter");
  }
  std::set<ReplicaId> ids;
  for (const auto* replicas : {&membership.voters, &membership.learners}) {
    for (const auto& replica : *replicas) {
      const bool is_new = replica->id != 0 && ids.insert(replica->id).second;
      if (is_new) continue;
      throw Error(ErrorKind::Invalid, fmt::format("replica id {} is 0 or named twice", replica->id),
                  "give each replica an id of its own, from 1 up");
    }
  }
}

}  // namespace cometstand::consensus

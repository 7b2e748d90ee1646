#include "store/mesh_service.h"

#include <memory>
#include <utility>

#include "store/seed_formation.h"

namespace cometstand::store {

MeshAnswer MeshService::notLeader() const {
  MeshAnswer answer;
  answer.kind = MeshAnswerKind::NotLeader;
  answer.revision = context_.state.mesh().revision();
  const auto leadership = context_.consensus.leadership();
  const auto membership = context_.consensus.membership();
  const auto* leader = consensus::findReplica(membership, leadership.leader);
  if (leader != nullptr && leader->id != context_.options.self.id) answer.leader = addressOf(*leader);
  return answer;
}

void MeshService::change(const wire::MeshChangeT& change, MeshAnswerHandler handler, TimePoint now) {
  if (!context_.isLeader()) {
    handler(notLeader());
    return;
  }
  wire::StoreCommandBatchT batch;
  auto command = std::make_shared<wire::StoreCommandT>();
  command->body.Set(context_.state.mesh().encode(change));
  batch.commands.push_back(std::move(command));
  const auto index = context_.consensus.propose(encodeBatch(batch), now);
  if (!index) {
    handler(notLeader());
    return;
  }
  const auto term = context_.consensus.leadership().term;
  pending_.push_back({*index, term, now + context_.options.command_time_limit, std::move(handler)});
}

void MeshService::read(MeshAnswerHandler handler, TimePoint now) {
  if (!context_.isLeader()) {
    handler(notLeader());
    return;
  }
  context_.reads.ask(
      [this, handler = std::move(handler)](bool confirmed, TimePoint) {
        if (!confirmed) {
          handler(notLeader());
          return;
        }
        const auto& mesh = context_.state.mesh();
        handler({MeshAnswerKind::Done, mesh.revision(), mesh.document(), std::nullopt});
      },
      now);
}

void MeshService::onApplied(const wire::LogEntryT& entry, const std::vector<CommandResult>& results) {
  while (!pending_.empty() && pending_.front().index <= entry.index) {
    const Pending pending = std::move(pending_.front());
    pending_.pop_front();
    MeshAnswer answer;
    answer.revision = context_.state.mesh().revision();
    const bool is_own = pending.index == entry.index && pending.term == entry.term && results.size() == 1;
    const auto* result = is_own ? std::get_if<MeshChangeResult>(&results.front()) : nullptr;
    if (result != nullptr) {
      switch (*result) {
        case MeshChangeResult::Accepted:
          answer.kind = MeshAnswerKind::Done;
          break;
        case MeshChangeResult::Conflict:
          answer.kind = MeshAnswerKind::Conflict;
          break;
        case MeshChangeResult::Stale:
          answer.kind = MeshAnswerKind::Stale;
          break;
      }
    }
    pending.handler(answer);
  }
}

void MeshService::onLeadershipLost() {
  for (const auto& pending : std::exchange(pending_, {})) pending.handler(MeshAnswer());
}

void MeshService::onTimer(TimePoint now) {
  while (!pending_.empty() && pending_.front().deadline <= now) {
    const Pending pending = std::move(pending_.front());
    pending_.pop_front();
    pending.handler(MeshAnswer());
  }
}

TimePoint MeshService::nextTimer() const {
  return pending_.empty() ? TimePoint::max() : pending_.front().deadline;
}

}  // namespace cometstand::store

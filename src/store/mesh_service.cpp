#include "store/mesh_service.h"

#include <utility>

namespace cometstand::store {

MeshAnswer MeshService::notLeader() const {
  MeshAnswer answer;
  answer.kind = MeshAnswerKind::NotLeader;
  answer.revision = context_.state.mesh().revision();
  answer.leader = context_.remoteLeader();
  return answer;
}

MeshAnswer MeshService::answerOf(const CommandResult* result) const {
  MeshAnswer answer;
  answer.revision = context_.state.mesh().revision();
  const auto* change = result == nullptr ? nullptr : std::get_if<MeshChangeResult>(result);
  if (change == nullptr) return answer;
  switch (*change) {
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
  return answer;
}

void MeshService::change(const wire::MeshChangeT& change, const MeshAnswerHandler& handler, TimePoint now) {
  if (!context_.isLeader()) {
    handler(notLeader());
    return;
  }
  const auto answer = [this, handler](const CommandResult* result) { handler(answerOf(result)); };
  if (!proposals_.propose(context_.state.mesh().encode(change), answer, now)) handler(notLeader());
}

void MeshService::read(MeshAnswerHandler handler, TimePoint now) {
  if (!context_.isLeader()) {
    handler(notLeader());
    return;
  }
  context_.reads.requestRead(
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

}  // namespace cometstand::store

#include "store/mesh_register.h"

#include <algorithm>

namespace cometstand::store {
namespace {

/// Accepted revisions that are remembered for changes that are sent again; older ones count as conflicts.
constexpr std::size_t kMaxAccepted = 2'000;

bool sameDigest(const wire::Digest& left, const wire::Digest& right) {
  return left.low() == right.low() && left.high() == right.high();
}

}  // namespace

bool MeshRegister::wasAccepted(const wire::MeshChangeT& change) const {
  return std::any_of(state_->accepted.begin(), state_->accepted.end(), [&change](const auto& accepted) {
    return accepted->revision == change.revision && sameDigest(*accepted->digest, *change.digest);
  });
}

MeshChangeResult MeshRegister::apply(const wire::MeshChangeT& change) {
  if (wasAccepted(change)) return MeshChangeResult::Accepted;
  if (change.base_revision != state_->revision) return MeshChangeResult::Conflict;
  if (change.revision <= state_->revision) return MeshChangeResult::Stale;
  auto next = std::make_shared<wire::MeshStateT>();
  next->revision = change.revision;
  next->document = change.document;
  next->configuration = change.configuration;
  next->accepted = state_->accepted;
  auto accepted = std::make_shared<wire::AcceptedRevisionT>();
  accepted->revision = change.revision;
  accepted->digest = change.digest;
  next->accepted.push_back(std::move(accepted));
  if (next->accepted.size() > kMaxAccepted) next->accepted.erase(next->accepted.begin());
  state_ = std::move(next);
  return MeshChangeResult::Accepted;
}

void MeshRegister::restore(const std::shared_ptr<wire::MeshStateT>& state) {
  state_ = state == nullptr ? std::make_shared<wire::MeshStateT>() : state;
}

}  // namespace cometstand::store

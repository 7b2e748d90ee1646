#include "store/mesh_register.h"

#include <algorithm>

#include "mesh/compression.h"

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

wire::MeshChangeT MeshRegister::encode(const wire::MeshChangeT& change) const {
  wire::MeshChangeT encoded = change;
  encoded.is_patch = change.base_revision == state_->revision;
  const mesh::Bytes none;
  encoded.document = mesh::compress(change.document, encoded.is_patch ? state_->document : none);
  encoded.configuration =
      mesh::compress(change.configuration, encoded.is_patch ? state_->configuration : none);
  return encoded;
}

MeshChangeResult MeshRegister::apply(const wire::MeshChangeT& change) {
  if (wasAccepted(change)) return MeshChangeResult::Accepted;
  if (change.base_revision != state_->revision) return MeshChangeResult::Conflict;
  if (change.revision <= state_->revision) return MeshChangeResult::Stale;
  auto next = std::make_shared<wire::MeshStateT>();
  next->revision = change.revision;
  // A patch is one of the base revision, which is in force here: the check above says so.
  const mesh::Bytes none;
  next->document = mesh::decompress(change.document, change.is_patch ? state_->document : none);
  next->configuration =
      mesh::decompress(change.configuration, change.is_patch ? state_->configuration : none);
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

#include "store/mesh_register.h"

#include <algorithm>

#include "mesh/compression.h"

namespace cometstand::store {
namespace {

/// Number of accepted revisions kept to detect changes that are sent again; a repetition of an older change
/// is a conflict.
constexpr std::size_t kMaxAcceptedRevisions = 2'000;

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
  const mesh::Bytes empty;
  encoded.document = mesh::compress(change.document, encoded.is_patch ? state_->document : empty);
  encoded.configuration =
      mesh::compress(change.configuration, encoded.is_patch ? state_->configuration : empty);
  return encoded;
}

MeshChangeResult MeshRegister::apply(const wire::MeshChangeT& change) {
  if (wasAccepted(change)) return MeshChangeResult::Accepted;
  if (change.base_revision != state_->revision) return MeshChangeResult::Conflict;
  if (change.revision <= state_->revision) return MeshChangeResult::Stale;
  auto next = std::make_shared<wire::MeshStateT>();
  next->revision = change.revision;
  // A patch is relative to its base revision, which was checked above to be the current one.
  const mesh::Bytes empty;
  next->document = mesh::decompress(change.document, change.is_patch ? state_->document : empty);
  next->configuration =
      mesh::decompress(change.configuration, change.is_patch ? state_->configuration : empty);
  next->accepted = state_->accepted;
  auto accepted = std::make_shared<wire::AcceptedRevisionT>();
  accepted->revision = change.revision;
  accepted->digest = change.digest;
  next->accepted.push_back(std::move(accepted));
  if (next->accepted.size() > kMaxAcceptedRevisions) next->accepted.erase(next->accepted.begin());
  state_ = std::move(next);
  return MeshChangeResult::Accepted;
}

void MeshRegister::restore(const std::shared_ptr<wire::MeshStateT>& state) {
  state_ = state == nullptr ? std::make_shared<wire::MeshStateT>() : state;
}

}  // namespace cometstand::store

#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <vector>

#include "schema/store_generated.h"

namespace cometstand::store {

/// Result of applying a change of the mesh configuration.
enum class MeshChangeResult : std::uint8_t {
  /// The change is now in force, or it is a repetition of a change that was accepted before.
  Accepted,
  /// The current revision is not the base revision of the change.
  Conflict,
  /// The revision of the change is not higher than the current one.
  Stale,
};

/// The newest mesh configuration, changed by compare-and-set. Part of the replicated state machine: its state
/// depends on the committed changes only.
///
/// Invariant: the revision only increases, and at most one change is accepted for each base revision.
class MeshRegister {
 public:
  /// @return the change as it is written to the log: with its contents compressed, and with the current
  /// contents as the compression prefix if the current revision is its base.
  /// @throw Error(Invalid) if the change is too large.
  wire::MeshChangeT encode(const wire::MeshChangeT& change) const;

  /// @param change as returned by encode() on this or another replica.
  MeshChangeResult apply(const wire::MeshChangeT& change);

  std::uint64_t revision() const { return state_->revision; }
  /// @return the configuration document as the operator sent it.
  const std::vector<std::uint8_t>& document() const { return state_->document; }
  /// @return the serialized MeshConfiguration; empty before the first change.
  const std::vector<std::uint8_t>& configuration() const { return state_->configuration; }

  /// @return the state; the object is immutable, so that a snapshot that is being written may share it.
  std::shared_ptr<wire::MeshStateT> capture() const { return state_; }
  void restore(const std::shared_ptr<wire::MeshStateT>& state);

 private:
  bool wasAccepted(const wire::MeshChangeT& change) const;

  /// Replaced by a new object, never modified, with each accepted change.
  std::shared_ptr<wire::MeshStateT> state_ = std::make_shared<wire::MeshStateT>();
};

}  // namespace cometstand::store

#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <vector>

#include "schema/store_generated.h"

namespace cometstand::store {

/// What became of a change of the whole mesh configuration.
enum class MeshChangeResult : std::uint8_t {
  /// In force from now on, or taken before and sent again.
  Accepted,
  /// Another revision than the named base is current.
  Conflict,
  /// The revision is not above the current one.
  Stale,
};

/// The newest mesh configuration, changed by compare-and-set. Part of the replicated state: decides from the
/// accepted changes alone.
///
/// Invariant: the revision only rises, and of two changes on one base one at most is accepted.
class MeshRegister {
 public:
  /// @return the change as it goes into the log: its contents compressed, with what is in force as the prefix
  /// if the change builds on that.
  /// @throw Error(Invalid) if the change is too large.
  wire::MeshChangeT encode(const wire::MeshChangeT& change) const;

  /// @param change as encode() gave it, here or on another replica.
  MeshChangeResult apply(const wire::MeshChangeT& change);

  std::uint64_t revision() const { return state_->revision; }
  /// @return the operator's text.
  const std::vector<std::uint8_t>& document() const { return state_->document; }
  /// @return bytes of a MeshConfiguration; empty before the first change.
  const std::vector<std::uint8_t>& configuration() const { return state_->configuration; }

  /// @return the state; never changed afterwards, so that it may be shared with a snapshot on its way.
  std::shared_ptr<wire::MeshStateT> capture() const { return state_; }
  void restore(const std::shared_ptr<wire::MeshStateT>& state);

 private:
  bool wasAccepted(const wire::MeshChangeT& change) const;

  /// Replaced as a whole by each accepted change.
  std::shared_ptr<wire::MeshStateT> state_ = std::make_shared<wire::MeshStateT>();
};

}  // namespace cometstand::store

#pragma once

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "view/view.h"

namespace cometstand::view {

/// Stages a new view aside from the one in use and checks it before it is handed out: as a whole, or, if it
/// starts from a view that was checked before, what the changes touched.
class ViewBuilder {
 public:
  /// Starts from the empty view.
  ViewBuilder() = default;
  /// Starts from a copy of the given view, which stays as it is.
  explicit ViewBuilder(const View& base);

  /// Puts the change's object, or deletes it if the change is a tombstone.
  /// @throw Error(Malformed) if the change is incomplete or does not belong into a view.
  void apply(const ChangePointer& change);

  /// @return the digest of what is staged.
  const DigestSum& digest() const { return staged_.digest(); }

  /// @return the finished view at the given version. The builder is empty afterwards.
  /// @throw Error(Reference) if a route's service or secret is missing, or an object is not of the node's
  ///     tenants.
  ViewPointer finish(std::uint64_t version);

  /// As finish(), and checks the digest.
  /// @throw Error(Corrupt) if the digest differs from the expected one.
  ViewPointer finish(std::uint64_t version, const DigestSum& expected);

 private:
  void remove(const ObjectId& id);

  View staged_;
  /// Staged changes since the base; meaningless while check_all_ is set.
  std::set<ObjectId> touched_;
  /// Set while the base is not known to be whole, or the node itself changed.
  bool check_all_ = true;
};

/// @return the view that follows from the delta.
/// @throw Error(Conflict) if the delta does not start at the base's version or is not newer; otherwise as
///     ViewBuilder::finish().
ViewPointer applyDelta(const View& base, const wire::ViewDeltaT& delta);

/// @return the view of the snapshot, which must be newer than the base.
/// @throw Error(Conflict) if it is not newer; otherwise as ViewBuilder::finish().
ViewPointer applySnapshot(const View& base, const wire::ViewSnapshotT& snapshot);

/// @return the view of one node, taken from all objects of the configuration at the given version.
/// @throw Error(NotFound) if the node is not among them.
ViewPointer selectView(const std::vector<ChangePointer>& objects, const std::string& node,
                       std::uint64_t version);

}  // namespace cometstand::view

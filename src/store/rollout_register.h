#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "schema/store_generated.h"

namespace cometstand::store {

/// What became of an order or a step of a roll-out.
enum class RolloutResult : std::uint8_t {
  /// In force from now on, or taken before and sent again.
  Accepted,
  /// Another roll-out of the service runs.
  Conflict,
  /// A step of a roll-out that is over, or that went past it: nothing changed.
  Stale,
};

using RolloutPointer = std::shared_ptr<const wire::RolloutRecordT>;

/// @return true if nothing changes the roll-out any more.
bool isOver(wire::RolloutPhase phase);

/// The newest roll-out of each service. Part of the replicated state: decides from the accepted orders and
/// steps alone, and never looks at a clock.
///
/// Invariants: one roll-out of a service runs at a time; phases only go forward, and a roll-out that is over
/// never changes.
class RolloutRegister {
 public:
  RolloutResult apply(const wire::RolloutOrderT& order);
  RolloutResult apply(const wire::RolloutStepT& step);

  /// @return the newest roll-out of the service; nullptr if there was none.
  RolloutPointer find(const std::string& service) const;
  /// By service.
  const std::map<std::string, RolloutPointer>& all() const { return records_; }
  /// @return true if the order equals the service's newest one.
  bool equalsNewest(const wire::RolloutOrderT& order) const;
  /// Rises with each change.
  std::uint64_t changes() const { return changes_; }

  /// @return the state; nullptr if there is none.
  std::shared_ptr<wire::RolloutStateT> capture() const;
  void restore(const std::shared_ptr<wire::RolloutStateT>& state);

 private:
  std::map<std::string, RolloutPointer> records_;
  std::uint64_t last_number_ = 0;
  std::uint64_t changes_ = 0;
};

}  // namespace cometstand::store

#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "schema/store_generated.h"

namespace cometstand::store {

/// Result of applying an order or a step of a roll-out.
enum class RolloutResult : std::uint8_t {
  /// The order or step took effect, or the order is a duplicate of one accepted before.
  Accepted,
  /// Another roll-out of the service is in progress.
  Conflict,
  /// The step is obsolete because its roll-out has finished or is already in a later phase; nothing changed.
  Stale,
};

using RolloutPointer = std::shared_ptr<const wire::RolloutRecordT>;

/// @return true if the phase is final.
bool isFinished(wire::RolloutPhase phase);

/// Latest roll-out of each service. It is part of the replicated state: its changes depend only on the
/// accepted orders and steps, and it reads no clock.
///
/// Invariants: at most one roll-out of a service is in progress at a time, phases only advance, and a
/// finished roll-out never changes.
class RolloutRegister {
 public:
  RolloutResult apply(const wire::RolloutOrderT& order);
  RolloutResult apply(const wire::RolloutStepT& step);

  /// @return the latest roll-out of the service; nullptr if there is none.
  RolloutPointer find(const std::string& service) const;
  /// @return the latest roll-outs by service.
  const std::map<std::string, RolloutPointer>& all() const { return records_; }
  /// @return true if the order is equal to the service's latest one.
  bool equalsLatest(const wire::RolloutOrderT& order) const;
  /// @return a counter that increases with each change.
  std::uint64_t changeCount() const { return changes_; }

  /// @return the state; nullptr if there is none.
  std::shared_ptr<wire::RolloutStateT> capture() const;
  void restore(const std::shared_ptr<wire::RolloutStateT>& state);

 private:
  std::map<std::string, RolloutPointer> records_;
  std::uint64_t last_number_ = 0;
  std::uint64_t changes_ = 0;
};

}  // namespace cometstand::store

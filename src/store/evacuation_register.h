#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "schema/store_generated.h"

namespace cometstand::store {

/// Result of applying an order to evacuate a zone or to end its evacuation.
enum class EvacuationResult : std::uint8_t {
  Changed,
  /// The zone was already in the ordered state.
  Unchanged,
};

using EvacuationRecordPointer = std::shared_ptr<const wire::EvacuationRecordT>;

/// The zones whose targets must not receive requests. Part of the replicated state machine: its state depends
/// on the committed orders only and never on a clock. Orders are idempotent: an order for a zone that is in
/// the ordered state already changes nothing.
class EvacuationRegister {
 public:
  EvacuationResult apply(const wire::EvacuationOrderT& order);

  bool isEvacuated(const std::string& zone) const;
  /// @return the newest change of the zone; nullptr if it has never been evacuated.
  EvacuationRecordPointer find(const std::string& zone) const;
  /// @return the newest change of each zone that has ever been evacuated, by zone.
  const std::map<std::string, EvacuationRecordPointer>& all() const { return records_; }
  /// @return the number of zones that are currently evacuated.
  std::size_t count() const;
  /// Sequence number of the newest change; 0 before the first one.
  std::uint64_t lastNumber() const { return last_number_; }
  /// @return the full state as an update for nodes.
  wire::EvacuationUpdateT makeUpdate() const;

  /// @return the state for a snapshot; nullptr if it is empty.
  std::shared_ptr<wire::EvacuationStateT> capture() const;
  void restore(const std::shared_ptr<wire::EvacuationStateT>& state);

 private:
  std::map<std::string, EvacuationRecordPointer> records_;
  std::uint64_t last_number_ = 0;
};

}  // namespace cometstand::store

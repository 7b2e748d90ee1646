#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "schema/store_generated.h"

namespace cometstand::store {

/// What became of an order to evacuate a zone, or to end that.
enum class EvacuationResult : std::uint8_t {
  Changed,
  /// The zone was as ordered before.
  Unchanged,
};

using EvacuationRecordPointer = std::shared_ptr<const wire::EvacuationRecordT>;

/// The zones whose targets are to get no requests. Part of the replicated state: decides from the accepted
/// orders alone, and never looks at a clock. An order for a zone that is as ordered changes nothing, so an
/// order that is sent again is the same order.
class EvacuationRegister {
 public:
  EvacuationResult apply(const wire::EvacuationOrderT& order);

  bool isEvacuated(const std::string& zone) const;
  /// @return the newest change of the zone; nullptr if it was never evacuated.
  EvacuationRecordPointer find(const std::string& zone) const;
  /// By zone.
  const std::map<std::string, EvacuationRecordPointer>& all() const { return records_; }
  /// @return zones that are evacuated now.
  std::size_t count() const;
  /// Number of the newest change; 0 for none.
  std::uint64_t lastNumber() const { return last_number_; }
  /// @return what nodes have to know.
  wire::EvacuationUpdateT makeUpdate() const;

  /// @return the state; nullptr if there is none.
  std::shared_ptr<wire::EvacuationStateT> capture() const;
  void restore(const std::shared_ptr<wire::EvacuationStateT>& state);

 private:
  std::map<std::string, EvacuationRecordPointer> records_;
  std::uint64_t last_number_ = 0;
};

}  // namespace cometstand::store

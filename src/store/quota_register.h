#pragma once

#include <cstdint>
#include <memory>

#include "schema/store_generated.h"

namespace cometstand::store {

/// Result of applying a leadership record.
struct QuotaLeadershipResult {
  /// Number of leaderships, including the recorded one, whose tokens may be in use.
  std::uint32_t live = 0;
};

/// Tracks which leaderships may have tenants' tokens in use. It is part of the replicated state so that a
/// leader that has just started knows it, too. Each leadership is recorded before it grants its first token,
/// and again once all tokens of earlier leaderships have expired. Applying a record is deterministic, reads
/// no clock and is idempotent.
class QuotaRegister {
 public:
  QuotaLeadershipResult apply(const wire::QuotaLeadershipT& record);

  /// @return the state; nullptr if no leadership has been recorded.
  std::shared_ptr<wire::QuotaLeadershipStateT> capture() const;
  void restore(const std::shared_ptr<wire::QuotaLeadershipStateT>& state);

 private:
  wire::QuotaLeadershipStateT state_;
};

}  // namespace cometstand::store

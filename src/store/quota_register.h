#pragma once

#include <cstdint>
#include <memory>

#include "schema/store_generated.h"

namespace cometstand::store {

/// What a record of a leadership came to: how many leaderships, that one among them, may have tokens in use.
struct QuotaLeadershipResult {
  std::uint32_t live = 0;
};

/// Which leaderships may have tokens of tenants in use. Part of the replicated state, so that a leader that
/// has just started knows it, too: each leadership is recorded before it gives its first token, and again
/// once all tokens of those before it are void. Decides from the accepted records alone, and never looks at a
/// clock. A record that comes again changes nothing.
class QuotaRegister {
 public:
  QuotaLeadershipResult apply(const wire::QuotaLeadershipT& record);

  /// @return the state; nullptr if no leadership was recorded.
  std::shared_ptr<wire::QuotaLeadershipStateT> capture() const;
  void restore(const std::shared_ptr<wire::QuotaLeadershipStateT>& state);

 private:
  wire::QuotaLeadershipStateT state_;
};

}  // namespace cometstand::store

#include "store/store_context.h"

#include "store/seed_formation.h"

namespace cometstand::store {

std::optional<runtime::Address> StoreContext::leader() const {
  const auto membership = consensus.membership();
  const auto* replica = consensus::findReplica(membership, consensus.leadership().leader);
  return replica == nullptr ? std::nullopt : std::optional(addressOf(*replica));
}

std::optional<runtime::Address> StoreContext::remoteLeader() const {
  return consensus.leadership().leader == options.self.id ? std::nullopt : leader();
}

}  // namespace cometstand::store

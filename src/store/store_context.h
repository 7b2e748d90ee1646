#pragma once

#include <optional>

#include "base/error.h"
#include "base/random.h"
#include "consensus/consensus.h"
#include "runtime/action_queue.h"
#include "store/leader_reads.h"
#include "store/metrics.h"
#include "store/options.h"
#include "store/state_machine.h"

namespace cometstand::store {

/// State and services shared by the components of one replica. All references outlive the components.
struct StoreContext {
  const StoreOptions& options;
  runtime::ActionQueue& actions;
  RandomSource& random;
  consensus::Consensus& consensus;
  StateMachine& state;
  LeaderReads& reads;
  StoreMetrics& metrics;

  bool isLeader() const { return consensus.leadership().role == consensus::Role::Leader; }
  /// @return the address of the leader, which may be this replica; nullopt while no leader is known.
  std::optional<runtime::Address> leader() const;
  /// @return the address of the leader; nullopt if no leader is known or this replica is the leader.
  std::optional<runtime::Address> remoteLeader() const;
};

/// Destination of the reply to a request: the link it came by and its id on that link.
struct Requester {
  runtime::LinkId link{};
  std::uint64_t request_id = 0;
};

}  // namespace cometstand::store

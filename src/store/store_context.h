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

/// What the parts of one replica share. All references outlive the parts.
struct StoreContext {
  const StoreOptions& options;
  runtime::ActionQueue& actions;
  RandomSource& random;
  consensus::Consensus& consensus;
  StateMachine& state;
  LeaderReads& reads;
  StoreMetrics& metrics;

  bool isLeader() const { return consensus.leadership().role == consensus::Role::Leader; }
  /// @return where the leader listens, which may be this replica; nothing while none is known.
  std::optional<runtime::Address> leader() const;
  /// @return the same, but nothing if this replica leads.
  std::optional<runtime::Address> otherLeader() const;
};

/// Who waits for the answer to a request.
struct Asker {
  runtime::LinkId link{};
  std::uint64_t request_id = 0;
};

}  // namespace cometstand::store

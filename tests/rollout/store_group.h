#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "base/random.h"
#include "store/store_core.h"
#include "tests/rollout/process_network.h"

namespace cometstand::rollout::test {

/// @return the address of the process with the given number, which is unique in its network.
runtime::Address addressOf(std::size_t number);

/// A cluster of self-forming stores on a simulated network, numbered from 1.
class StoreGroup {
 public:
  /// Starts the stores and runs the network for 3 s, in which they elect a leader.
  /// @param zones see StoreOptions.
  StoreGroup(ProcessNetwork& network, RandomSource& random, std::size_t count,
             const mesh::ZoneMap& zones = {});

  const std::vector<ProcessId>& ids() const { return ids_; }
  /// @return the addresses of the stores, to be used as the seeds of sidecars.
  std::vector<runtime::Address> seeds() const;
  store::StoreCore& at(ProcessId id) const { return dynamic_cast<store::StoreCore&>(network_.core(id)); }
  /// @return the running store that is leader in the highest term.
  std::optional<ProcessId> leader() const;
  /// @throw std::logic_error if there is no leader.
  ProcessId requireLeader() const;
  /// Proposes the mesh configuration to the leader and runs the network for 1 s.
  /// @param base the current revision; 0 if there is none.
  void configure(const wire::MeshConfigurationT& configuration, std::uint64_t base = 0);

 private:
  ProcessNetwork& network_;
  std::vector<ProcessId> ids_;
};

}  // namespace cometstand::rollout::test

#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "base/random.h"
#include "store/store_core.h"
#include "tests/rollout/process_network.h"

namespace cometstand::rollout::test {

/// @return the address of a process by its number, which is unique in its network.
runtime::Address addressOf(std::size_t number);

/// Self-forming stores on a network, numbered from 1.
class StoreGroup {
 public:
  /// Starts the stores and waits until they have a leader.
  /// @param zones see StoreOptions.
  StoreGroup(ProcessNetwork& network, RandomSource& random, std::size_t count,
             const mesh::ZoneMap& zones = {});

  const std::vector<ProcessId>& ids() const { return ids_; }
  /// @return where sidecars find them.
  std::vector<runtime::Address> seeds() const;
  store::StoreCore& at(ProcessId id) const { return dynamic_cast<store::StoreCore&>(network_.core(id)); }
  /// @return the running store that leads in the highest term.
  std::optional<ProcessId> leader() const;
  /// @throw std::logic_error without a leader.
  ProcessId requireLeader() const;
  /// Makes this the mesh's configuration.
  /// @param base the revision in force; 0 for none.
  void configure(const wire::MeshConfigurationT& configuration, std::uint64_t base = 0);

 private:
  ProcessNetwork& network_;
  std::vector<ProcessId> ids_;
};

}  // namespace cometstand::rollout::test

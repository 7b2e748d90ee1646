#pragma once

#include <cstddef>
#include <map>
#include <optional>

#include "mesh/incarnation.h"
#include "runtime/process_core.h"
#include "schema/mesh_generated.h"
#include "sidecar/endpoint.h"

namespace cometstand::sidecar {

/// What targets have stated in responses to this sidecar, by the address of their sidecars. It outlives the
/// endpoint's record and its sidecar's process, which forgets it when it restarts.
class KnownStatements {
 public:
  /// Records the statement of a reply. A later one about the same incarnation replaces it.
  void record(const runtime::Address& address, const wire::TargetStatementT& statement, TimePoint now);
  /// @return the statement of the endpoint's current target; nullptr if there is none.
  const wire::TargetStatementT* find(const Endpoint& endpoint) const;
  /// @return true if the endpoint's current target is shutting down.
  bool isLeaving(const Endpoint& endpoint) const;
  std::size_t size() const { return statements_.size(); }

  /// The largest number of addresses with a statement; beyond it, the oldest statement is dropped.
  static constexpr std::size_t kMaxStatements = 4'096;

 private:
  struct Known {
    wire::TargetStatementT statement;
    TimePoint recorded_at;
  };

  void dropOldest();

  std::map<runtime::Address, Known> statements_;
};

}  // namespace cometstand::sidecar

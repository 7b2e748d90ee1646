#pragma once

#include <string>
#include <vector>

#include "operator/command.h"
#include "store/state_machine.h"

/// Replies to operators' queries, computed from the applied state and the relays' status reports. Operators
/// see only objects of their own tenant; administrators see all. No reply contains the value of a secret, a
/// token or a hash.
namespace cometstand::store {

/// Visibility of objects to one operator.
struct Scope {
  std::string tenant;
  bool administrator = false;

  bool canSee(const std::string& other_tenant) const { return administrator || other_tenant == tenant; }
  /// @return true if the tenant is assigned to the node, or the operator is an administrator.
  bool canSeeNode(const wire::NodeSpecT& node) const;
};

wire::CommandReplyT showVersion(const StateMachine& state);
wire::CommandReplyT showRoute(const StateMachine& state, const Scope& scope, const command::ShowRoute& query);
wire::CommandReplyT showRoutes(const StateMachine& state, const Scope& scope);
wire::CommandReplyT showServices(const StateMachine& state, const Scope& scope);
wire::CommandReplyT showNodes(const StateMachine& state, const Scope& scope);
wire::CommandReplyT showTenants(const StateMachine& state, const Scope& scope);
wire::CommandReplyT showSecrets(const StateMachine& state, const Scope& scope);
wire::CommandReplyT showQuarantine(const StateMachine& state);
wire::CommandReplyT showChanges(const StateMachine& state, const Scope& scope,
                                const command::ShowChanges& query);

/// @param status the relays' merged status reports. A node without a report is shown as "silent", with
/// version 0.
wire::CommandReplyT showProxies(const StateMachine& state, const Scope& scope,
                                const command::ShowProxies& query, const wire::StatusReplyT& status);

/// @param status the relays' merged status reports. An endpoint that no relay reports is shown as
/// "unreported".
wire::CommandReplyT showEndpoints(const StateMachine& state, const Scope& scope,
                                  const command::ShowEndpoints& query, const wire::StatusReplyT& status);

/// @param version of the catalog that the rows were read from.
wire::CommandReplyT makeTable(std::uint64_t version, std::vector<std::string> columns,
                              const std::vector<std::vector<std::string>>& rows);

}  // namespace cometstand::store

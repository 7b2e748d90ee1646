#pragma once

#include <string>
#include <vector>

#include "operator/command.h"
#include "store/state_machine.h"

/// Answers of operators' queries, made from the applied state alone. Each asker sees its own tenant; an
/// administrator sees all. No answer holds a secret's value, a token or a hash.
namespace cometstand::store {

/// Whose objects an answer may show.
struct Scope {
  std::string tenant;
  bool administrator = false;

  bool shows(const std::string& other_tenant) const { return administrator || other_tenant == tenant; }
  /// @return true if the proxy of this node may hold objects of the tenant.
  bool showsNode(const wire::NodeSpecT& node) const;
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

/// @param status what the relays answered. A node without a report is shown as "silent", with version 0.
wire::CommandReplyT showProxies(const StateMachine& state, const Scope& scope,
                                const command::ShowProxies& query, const wire::StatusReplyT& status);

/// @param status what the relays answered. An endpoint that no relay reports is shown as "unreported".
wire::CommandReplyT showEndpoints(const StateMachine& state, const Scope& scope,
                                  const command::ShowEndpoints& query, const wire::StatusReplyT& status);

/// @return a reply with these columns and rows.
wire::CommandReplyT makeTable(std::uint64_t version, std::vector<std::string> columns,
                              const std::vector<std::vector<std::string>>& rows);

}  // namespace cometstand::store

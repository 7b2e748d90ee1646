#pragma once

#include <string>
#include <vector>

#include "rehearsal/fleet/deployment.h"
#include "rehearsal/fleet/member.h"
#include "rehearsal/fleet/operator_console.h"

/// Commands that give a fleet its first configuration.
namespace cometstand::rehearsal {

/// A token in the form in which it is stored: both in hexadecimal.
struct HashedToken {
  std::string salt;
  std::string token_hash;
};

/// @return the token's hash under a fresh salt.
HashedToken hashFreshly(const std::string& token);

/// A proxy's node and its secret token.
struct NodeToken {
  const Member* proxy = nullptr;
  std::string token;
};

/// @return the administrator's change: the tenant, its operators' credentials, and a node for each proxy.
std::string meshChange(const Deployment& deployment, const std::vector<OperatorIdentity>& operators,
                       const std::vector<NodeToken>& nodes);

/// @return the tenant's change: its secret, services and routes.
std::string tenantChange(const Deployment& deployment, const std::vector<const Member*>& backends);

/// @return one `put service` step with all of the service's targets.
std::string putService(const Deployment& deployment, const PlannedService& service,
                       const std::vector<const Member*>& backends);

/// @return one `put route` step.
std::string putRoute(const Deployment& deployment, const PlannedRoute& route);

}  // namespace cometstand::rehearsal

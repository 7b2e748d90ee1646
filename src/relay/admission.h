#pragma once

#include <string>

#include "runtime/join_limiter.h"
#include "schema/objects_generated.h"

namespace cometstand::relay {

using runtime::JoinLimiter;

/// @return true if the token is the node's, or the node asks for none. Takes equal time for all tokens.
bool verifyNodeToken(const wire::NodeSpecT& node, const std::string& token);

}  // namespace cometstand::relay

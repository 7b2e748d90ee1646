#include "relay/admission.h"

#include "config/token.h"

namespace cometstand::relay {

bool verifyNodeToken(const wire::NodeSpecT& node, const std::string& token) {
  return node.token_hash.empty() || config::verifyToken(node.salt, node.token_hash, token);
}

}  // namespace cometstand::relay

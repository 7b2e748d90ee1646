#pragma once

#include <string>

namespace cometstand::net {

/// Who the other end of a link is, as its certificate says. All fields are empty on plain TCP.
struct PeerIdentity {
  /// "store", "relay", "proxy" or "operator".
  std::string role;
  std::string name;
  /// Set for operators.
  std::string tenant;
};

}  // namespace cometstand::net

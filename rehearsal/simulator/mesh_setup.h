#pragma once

#include <functional>
#include <string>
#include <vector>

#include "rehearsal/simulator/fleet.h"

namespace cometstand::simulator {

/// Name of the administrator who sets up a simulated mesh.
inline constexpr const char* kAdministrator = "operator-admin";
/// Name of the administrator who replaces lost replicas.
inline constexpr const char* kRepairer = "operator-repair";

/// Puts the deployment's configuration into a new mesh, as an administrator would.
class MeshSetup {
 public:
  explicit MeshSetup(Fleet& fleet);

  /// Begins; the commands go one after the other.
  void start();
  bool done() const { return next_ == commands_.size(); }
  /// The version that the last command made.
  std::uint64_t version() const { return version_; }
  /// What the last refusal said; empty if there was none.
  const std::string& refusal() const { return refusal_; }

 private:
  void sendNext();

  Fleet& fleet_;
  std::vector<std::string> commands_;
  std::size_t next_ = 0;
  std::uint64_t version_ = 0;
  std::string refusal_;
};

/// @return the commands that set up the deployment's tenants, credentials, nodes, services and routes.
std::vector<std::string> setupCommands(Fleet& fleet);

}  // namespace cometstand::simulator

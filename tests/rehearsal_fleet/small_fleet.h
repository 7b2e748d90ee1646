#pragma once

#include <filesystem>
#include <string>
#include <vector>

#include "rehearsal/fleet/fleet.h"
#include "rehearsal/fleet/outcome_check.h"

namespace cometstand::rehearsal {

/// A fleet of real processes that is just large enough for every failure: three stores, two zones with a
/// relay and a proxy each, five back ends. Its folder stays behind for a look at the logs.
class SmallFleet {
 public:
  /// Starts the fleet; its first configuration is in force on every proxy.
  explicit SmallFleet(const std::string& name);

  Fleet& operator*() { return fleet_; }
  Fleet* operator->() { return &fleet_; }

  Member& store(unsigned number) { return fleet_.member("store-" + std::to_string(number)); }
  Member& relay(const std::string& zone) { return fleet_.member("relay-" + zone); }
  Member& proxy(const std::string& zone) { return fleet_.member("proxy-" + zone + "-1"); }

  /// Adds a route of this name and path.
  /// @return the version that has it.
  std::uint64_t addRoute(const std::string& name);
  std::uint64_t deleteRoute(const std::string& name);
  /// Waits until the version is in force everywhere.
  void waitInForce(std::uint64_t version);
  /// @return true if every proxy serves the path.
  bool allServe(const std::string& path);

 private:
  Fleet fleet_;
};

/// @return a `put route` change for the deployment's first service.
std::string routeChange(const Deployment& deployment, const std::string& name);

/// What a back end says of itself.
struct BackendStats {
  std::uint64_t begun = 0;
  std::uint64_t finished = 0;
};
BackendStats backendStats(const Member& backend);

/// Fails the test, and lists what was violated, unless there is nothing.
void checkNone(const Violations& violations);

/// Zones of the small fleet.
inline constexpr const char* kZoneA = "krk-a";
inline constexpr const char* kZoneB = "krk-b";

/// Arrivals a second in every test.
inline constexpr double kTestRate = 80;

/// How long load runs before and after what happens under it.
inline constexpr Duration kTestLoadLead = std::chrono::milliseconds(700);

}  // namespace cometstand::rehearsal

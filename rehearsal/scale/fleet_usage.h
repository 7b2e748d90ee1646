#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <map>
#include <vector>

#include "rehearsal/scale/scale_fleet.h"

namespace cometstand::rehearsal {

/// Usage of all processes of one role.
struct RoleUsage {
  std::size_t processes = 0;
  double cpu_seconds = 0;
  /// Of the process of the role that used the most.
  double largest_cpu_seconds = 0;
  std::uint64_t resident_bytes = 0;
  std::uint64_t largest_resident_bytes = 0;
  std::uint64_t write_calls = 0;
  std::uint64_t disk_bytes = 0;
};

/// What the fleet had used up to one moment.
struct FleetUsage {
  TimePoint at;
  std::map<ProcessRole, std::vector<ProcessUsage>> processes;
  /// Sums over the hollow processes' counters, by name; see HollowHost::report().
  std::map<std::string, std::uint64_t> hollow;
  /// What the store has sent to one reader.
  std::uint64_t reader_bytes = 0;
  std::uint64_t reader_messages = 0;
};

/// When one version came into force, over all hollow processes.
struct VersionInForce {
  std::uint64_t in_force_count = 0;
  std::uint64_t applied_count = 0;
  TimePoint in_force_last;
  TimePoint applied_last;
};

/// A moment's usage together with all versions' times.
struct FleetReport {
  FleetUsage usage;
  std::map<std::uint64_t, VersionInForce> versions;
  TimePoint recovered_last;
};

FleetReport readReport(ScaleFleet& fleet);

/// @return what was used between the two, by role.
std::map<ProcessRole, RoleUsage> usageBetween(const FleetUsage& before, const FleetUsage& after);

/// @return the increase of a hollow counter between the two.
std::uint64_t hollowBetween(const FleetUsage& before, const FleetUsage& after, const std::string& counter);

/// @return what one phase used, by role and by proxy, as JSON.
boost::json::object phaseToJson(const std::string& name, const FleetUsage& before, const FleetUsage& after);

/// @return the value below which the share of the values lies; 0 without values.
double percentile(std::vector<double> values, double share);

}  // namespace cometstand::rehearsal

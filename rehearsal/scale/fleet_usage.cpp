#include "rehearsal/scale/fleet_usage.h"

#include <algorithm>
#include <cmath>

namespace cometstand::rehearsal {

namespace json = boost::json;

namespace {

TimePoint timeFrom(const json::value& microseconds) {
  return TimePoint(Duration(microseconds.to_number<std::int64_t>()));
}

void addVersions(const json::array& rows, std::map<std::uint64_t, VersionInForce>& versions) {
  for (const auto& row : rows) {
    const auto& cells = row.as_array();
    auto& version = versions[cells.at(0).to_number<std::uint64_t>()];
    version.in_force_count += cells.at(1).to_number<std::uint64_t>();
    version.in_force_last = std::max(version.in_force_last, timeFrom(cells.at(2)));
    version.applied_count += cells.at(3).to_number<std::uint64_t>();
    version.applied_last = std::max(version.applied_last, timeFrom(cells.at(4)));
  }
}

void readUsage(const std::vector<std::unique_ptr<ChildProcess>>& children, FleetUsage& usage) {
  for (const auto& child : children) usage.processes[child->role()].push_back(child->usage());
}

double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

json::object roleToJson(const RoleUsage& usage, double duration) {
  return {{"processes", usage.processes},           {"cpu_seconds", usage.cpu_seconds},
          {"cores", usage.cpu_seconds / duration},  {"largest_cores", usage.largest_cpu_seconds / duration},
          {"resident_bytes", usage.resident_bytes}, {"largest_resident_bytes", usage.largest_resident_bytes},
          {"write_calls", usage.write_calls},       {"disk_bytes", usage.disk_bytes}};
}

}  // namespace

FleetReport readReport(ScaleFleet& fleet) {
  FleetReport report;
  for (const auto& answer : fleet.askAll("report")) {
    for (const auto& [name, value] : answer) {
      if (value.is_array()) {
        addVersions(value.as_array(), report.versions);
      } else if (name == "recovered_last_us") {
        report.recovered_last = std::max(report.recovered_last, timeFrom(value));
      } else {
        report.usage.hollow[name] += value.to_number<std::uint64_t>();
      }
    }
  }
  report.usage.at = SteadyClock::now();
  readUsage(fleet.controlProcesses(), report.usage);
  readUsage(fleet.hollow(), report.usage);
  return report;
}

std::map<ProcessRole, RoleUsage> usageBetween(const FleetUsage& before, const FleetUsage& after) {
  std::map<ProcessRole, RoleUsage> roles;
  for (const auto& [role, processes] : after.processes) {
    auto& sum = roles[role];
    const auto known = before.processes.find(role);
    const bool is_new = known == before.processes.end();
    for (std::size_t i = 0; i < processes.size(); ++i) {
      const ProcessUsage earlier = is_new ? ProcessUsage() : known->second[i];
      const double cpu_seconds = processes[i].cpu_seconds - earlier.cpu_seconds;
      ++sum.processes;
      sum.cpu_seconds += cpu_seconds;
      sum.largest_cpu_seconds = std::max(sum.largest_cpu_seconds, cpu_seconds);
      sum.resident_bytes += processes[i].resident_bytes;
      sum.largest_resident_bytes = std::max(sum.largest_resident_bytes, processes[i].resident_bytes);
      sum.write_calls += processes[i].write_calls - earlier.write_calls;
      sum.disk_bytes += processes[i].disk_bytes - earlier.disk_bytes;
    }
  }
  return roles;
}

std::uint64_t hollowBetween(const FleetUsage& before, const FleetUsage& after, const std::string& counter) {
  return after.hollow.at(counter) - before.hollow.at(counter);
}

json::object phaseToJson(const std::string& name, const FleetUsage& before, const FleetUsage& after) {
  const double duration = seconds(after.at - before.at);
  const auto proxies = static_cast<double>(after.hollow.at("proxies"));
  const auto per_proxy_second = [&](const char* counter) {
    return static_cast<double>(hollowBetween(before, after, counter)) / duration / proxies;
  };
  json::object counters;
  for (const auto& [counter, value] : after.hollow) {
    if (counter != "proxies" && counter != "view_objects")
      counters[counter] = hollowBetween(before, after, counter);
  }
  json::object roles;
  for (const auto& [role, usage] : usageBetween(before, after)) {
    roles[roleName(role)] = roleToJson(usage, duration);
  }
  return {{"phase", name},
          {"seconds", duration},
          {"bytes_a_second_to_a_proxy", per_proxy_second("bytes_received")},
          {"bytes_a_second_from_a_proxy", per_proxy_second("bytes_sent")},
          {"messages_a_second_to_a_proxy", per_proxy_second("messages_received")},
          {"bytes_to_a_reader_of_the_store", after.reader_bytes - before.reader_bytes},
          {"messages_to_a_reader_of_the_store", after.reader_messages - before.reader_messages},
          {"hollow", counters},
          {"roles", roles}};
}

double percentile(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const auto rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(values.size())));
  return values[std::max<std::size_t>(rank, 1) - 1];
}

}  // namespace cometstand::rehearsal

#pragma once

#include <map>
#include <string>

#include "proxy/data_path_options.h"
#include "rehearsal/standin/service_time.h"
#include "rehearsal/standin/workload.h"
#include "schema/objects_generated.h"

namespace cometstand::rehearsal {

/// One service of a deployment with its figures. Latencies between machines are not imitated: everything runs
/// on loopback.
struct Deployment {
  std::string name;
  std::string service;
  std::size_t targets = 0;
  /// Requests that a target works on at once.
  unsigned slots = 6;
  /// Connections that a target holds at once.
  unsigned max_connections = 130;
  /// Time that a target takes for each new connection.
  Duration connection_cost = std::chrono::milliseconds(1);
  ServiceTimeOptions service_time;
  Workload workload;
  /// Class of each kind of the workload.
  std::map<std::string, wire::RequestClass> classes;
  proxy::DataPathOptions data_path;

  /// @return requests a second that the slots of all targets can work on.
  double capacity() const;
};

/// @return the deployment of that name: "krakow" (editor-desk) or "astana" (registry).
/// @throw Error(Invalid) for any other name.
Deployment deploymentByName(const std::string& name);

}  // namespace cometstand::rehearsal

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"
#include "rehearsal/standin/workload.h"

namespace cometstand::rehearsal {

/// A service and how many targets it has.
struct PlannedService {
  std::string name;
  unsigned targets = 0;
};

/// A route, with the requests that callers make through it.
struct PlannedRoute {
  std::string name;
  std::string service;
  /// Name of a secret that the route sends to its back ends; empty for none.
  std::string secret;
  /// "interactive", "commit", "bulk" or "leisure".
  std::string request_class;
  /// Its name, host and path are filled in by the deployment.
  RequestKind requests;
};

/// The fixed properties of one of the users' fleets.
struct Deployment {
  std::string name;
  std::string tenant;
  std::string region;
  std::string host;
  std::vector<std::string> zones;
  std::vector<PlannedService> services;
  std::vector<PlannedRoute> routes;
  /// Name of the one secret, and its bytes; the bytes must never show up in a log or a query.
  std::string secret_name;
  std::string secret_value;
  /// Requests that one target works on at once.
  unsigned slots = 6;
  /// Connections that one target holds at once.
  unsigned connections = 130;
  Duration connection_cost = std::chrono::milliseconds(1);
  Duration probe_cost = Duration::zero();
  /// Mean service time of a request at a target.
  Duration service_time = std::chrono::milliseconds(8);
  /// The relays' setting relay.batch_window: small for convergence time, larger for control bytes.
  Duration batch_window = std::chrono::milliseconds(20);
};

/// Kraków: editor-desk (7 targets) and render-vault (5 targets) over four zones.
Deployment krakowDeployment();

/// Astana: registry (7 targets) and archive (5 targets) over four zones; a probe costs a target 6 ms.
Deployment astanaDeployment();

/// @param name "krakow" or "astana".
/// @throw Error(Invalid) for any other name.
Deployment deploymentByName(const std::string& name);

/// @return the requests of all routes.
Workload workloadOf(const Deployment& deployment);

/// @return only the requests that carry an idempotency key: they may run at most once.
Workload keyedWorkloadOf(const Deployment& deployment);

}  // namespace cometstand::rehearsal

#pragma once

#include <cstdint>
#include <string>

#include "base/time.h"
#include "rehearsal/checkers/convergence_checker.h"
#include "rehearsal/simulator/deployment.h"

namespace cometstand::sweep {

/// One point of the sweep: a simulated fleet under a steady stream of changes.
struct Point {
  simulator::Deployment deployment;
  /// Proxies over all zones; a multiple of the zones.
  unsigned proxies = 200;
  /// Mean of accepted changes a second, over all operators.
  double changes_per_second = 1;
  /// The store's leader dies this often and starts again; zero for never. Microseconds.
  Duration leader_kill_interval{};
  /// A back end leaves and comes back this often; zero for never. Microseconds.
  Duration endpoint_churn_interval{};
  /// Simulated time that is measured. Microseconds.
  Duration measured_time = std::chrono::seconds(60);
  std::uint64_t seed = 1;
};

/// What one point gave.
struct PointResult {
  std::uint64_t versions = 0;
  /// From acceptance to in force on the last proxy.
  checkers::ConvergenceTimes to_last_proxy;
  /// Bytes a second between proxies and relays, by proxy.
  double proxy_bytes_per_second = 0;
  /// Bytes a second between relays and the store, over the deployment.
  double reader_bytes_per_second = 0;
  /// Bytes a second between relays, over the deployment.
  double relay_bytes_per_second = 0;
  /// Bytes a second between the store's replicas, over the deployment.
  double replica_bytes_per_second = 0;
  std::size_t violations = 0;
};

/// Simulates one point. The same point gives the same result.
/// @throw Error(Unavailable) if the fleet could not be set up.
PointResult runPoint(const Point& point);

/// @return the point and its result as one line of JSON, without a line break.
std::string toJsonLine(const Point& point, const PointResult& result);

}  // namespace cometstand::sweep

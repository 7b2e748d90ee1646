#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "rehearsal/simulator/backend.h"
#include "rehearsal/simulator/network.h"

namespace cometstand::simulator {

struct ZoneLayout {
  std::string name;
  std::string region;
  unsigned relays = 1;
  unsigned proxies = 0;
  /// The zone has a replica of the store.
  bool has_store = false;
};

struct ServiceLayout {
  std::string tenant;
  std::string name;
  unsigned targets = 0;
};

/// One kind of request that callers send.
struct CallLayout {
  std::string route;
  std::string service;
  /// Also the path.
  std::string method;
  std::string request_class;
  bool repeatable = false;
  /// Sent with an idempotency key, and again through another proxy until its outcome is known.
  bool keyed = false;
  /// Milliseconds.
  unsigned timeout_ms = 2000;
  /// Requests a second over the whole deployment.
  double rate = 0;
};

/// A whole fleet, as the users' brief gives it.
struct Deployment {
  std::string name;
  LatencyModel latency;
  std::vector<ZoneLayout> zones;
  std::vector<ServiceLayout> services;
  std::vector<CallLayout> calls;
  /// The tenant of services and calls, served by every proxy.
  std::string tenant;
  /// A second tenant, served by every other proxy.
  std::string other_tenant;
  unsigned slots = 6;
  BackendBehavior backend;
  /// relay.batch_window.
  Duration batch_window{};
  /// relay.beat_interval.
  Duration beat_interval = std::chrono::seconds(1);
  /// Operators of each tenant, who race each other.
  unsigned operators = 2;
  /// Mean pause between the changes of one operator.
  Duration change_pause{};
  unsigned groups = 3;
};

/// @param name krakow, astana or scale.
/// @throw Error(Invalid) for any other name.
Deployment deploymentNamed(std::string_view name);

}  // namespace cometstand::simulator

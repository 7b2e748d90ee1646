#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "base/time.h"
#include "proxy/identifiers.h"
#include "proxy/load_estimate.h"
#include "proxy/outlier_detector.h"
#include "runtime/process_core.h"
#include "schema/control_generated.h"

namespace cometstand::proxy {

/// One endpoint of a service as this proxy knows it: what configuration and liveness records say, and what
/// the proxy saw itself. Lives on while requests refer to it, also after it left the set.
struct Endpoint {
  EndpointKey key;
  runtime::Address address;
  std::string zone;
  /// Requests that the endpoint works on at once.
  unsigned slots = 1;
  /// Connections that it holds at once, over all proxies.
  unsigned max_connections = 1;
  std::uint64_t incarnation = 0;
  wire::EndpointState state = wire::EndpointState::Live;
  /// Set by the endpoint's own word on a request, for its current incarnation.
  bool said_leaving = false;
  /// When it began to take traffic after it was cold or new; empty if it counts as warm.
  std::optional<TimePoint> warm_since;

  /// Attempts of this proxy that have not ended.
  unsigned outstanding = 0;
  LoadEstimate load;
  OutlierDetector outlier;

  /// @return true if new work may go there at all.
  bool mayTakeWork() const {
    const bool in_service = state == wire::EndpointState::Live || state == wire::EndpointState::Cold;
    return in_service && !said_leaving;
  }
};

using EndpointPointer = std::shared_ptr<Endpoint>;

}  // namespace cometstand::proxy

#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "base/time.h"
#include "proxy/concurrency_limit.h"
#include "proxy/identifiers.h"
#include "proxy/load_estimate.h"
#include "proxy/outlier_detector.h"
#include "runtime/process_core.h"
#include "schema/control_generated.h"

namespace cometstand::proxy {

/// How long an endpoint without liveness records is left alone after it said that it leaves.
inline constexpr Duration kLeavingMemory = std::chrono::seconds(30);

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
  /// Until then the endpoint's own word that it leaves, given on a request, counts.
  TimePoint leaving_until;
  /// When it began to take traffic after it was cold or new; empty if it counts as warm.
  std::optional<TimePoint> warm_since;

  /// Attempts of this proxy that have not ended.
  unsigned outstanding = 0;
  /// Requests that it takes without shedding, as far as this proxy saw.
  ConcurrencyLimit limit;
  LoadEstimate load;
  OutlierDetector outlier;

  /// @return true if it is in service as far as configuration and records tell.
  bool inService() const { return state == wire::EndpointState::Live || state == wire::EndpointState::Cold; }

  /// @return true if new work may go there at all.
  bool mayTakeWork(TimePoint now) const { return inService() && now >= leaving_until; }

  /// The endpoint itself said that it leaves. Counts until its next incarnation; where no record tells
  /// incarnations apart, until it is asked anew after a while.
  void markLeaving(TimePoint now) {
    leaving_until = incarnation != 0 ? TimePoint::max() : now + kLeavingMemory;
  }
};

using EndpointPointer = std::shared_ptr<Endpoint>;

}  // namespace cometstand::proxy

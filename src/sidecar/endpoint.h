#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "runtime/process_core.h"
#include "sidecar/version_filter.h"

namespace cometstand::sidecar {

/// State of one endpoint, which is a target instance and its sidecar, as known to this sidecar.
struct Endpoint {
  /// Listen address of the target's sidecar.
  runtime::Address address;
  std::string service;
  /// Increasing sequence number, assigned when the endpoint is listed under a service. Endpoint selection
  /// iterates in this order.
  std::uint64_t number = 0;
  std::string instance;
  /// Version of the target's software; empty if unknown.
  std::string version;
  std::string zone;
  unsigned slots = 1;
  bool live = false;
  /// The endpoint is reachable now: a link to it is open, or it is the local endpoint, which needs none.
  bool linked = false;
  /// Requests from this sidecar that are in flight.
  unsigned outstanding = 0;
  /// Requests running or queued at the target, from the endpoint's latest reply to this sidecar.
  unsigned reported_load = 0;
  /// Share of the target's recent runs that ended without a complete response, as reported by its sidecar.
  double failure_rate = 0;
  /// Run time of the target divided by the latency objective, as reported by its sidecar; 0 if unknown.
  double run_time = 0;
  /// Time until the endpoint can receive another large request body, as reported by its sidecar.
  Duration intake_wait{};
  /// Time until the endpoint has sent the large responses it holds, as reported by its sidecar.
  Duration answer_wait{};
  TimePoint reported_at;
  /// While requests are in flight: start of the period without any reply from the endpoint.
  TimePoint no_reply_since;
  /// Until this time the endpoint is selected only if there is no other.
  TimePoint avoid_until;
  /// Estimated end of the target's cold start.
  TimePoint cold_until;
  /// Requests that the target accepts while it is cold: the latest value reported by its sidecar, less the
  /// requests sent since.
  unsigned cold_room = 0;
  /// Until this time a cold target without capacity gets no request.
  TimePoint cold_retry_at;
  /// Time until this sidecar's next request to a target with a rate limit, as the target's sidecar last
  /// assigned it; zero without a limit.
  Duration limit_pause{};
  /// Until this time a target with a rate limit gets no request from this sidecar.
  TimePoint limit_retry_at;
  /// Time at which the endpoint is removed, unless a store lists it again.
  std::optional<TimePoint> expires_at;
};

/// Properties of a request that determine which endpoint is selected for it.
struct EndpointCriteria {
  std::string service;
  /// Size of the request body plus the expected size of the response body, as far as it is known.
  std::size_t bytes = 0;
  /// The request body is announced first and sent as the endpoint grants credit.
  bool has_large_body = false;
  /// The response is expected to be sent in parts.
  bool has_large_answer = false;
  /// Maximum time that the request may wait for a slot at an endpoint.
  Duration max_wait{};
  /// Versions to which the request may be sent.
  VersionFilter versions{};
  /// Regions in which the request may be served; empty for all.
  std::vector<std::string> regions{};
  /// The request may be retried even if an earlier attempt may have run.
  bool may_repeat = true;
  /// Regions allowed by a configuration that was received after the request; empty for all. The request is
  /// served only in regions that `regions` allows as well.
  std::vector<std::string> regions_of_newer_configuration{};
  /// The request has the highest urgency of all requests for the service.
  bool is_urgent = false;
  /// Estimated probability, from 0 to 1, that the request is refused altogether: the share of this sender's
  /// recent requests for the service that were refused, or 1 once an endpoint has refused this request.
  double refusal_share = 0;
};

}  // namespace cometstand::sidecar

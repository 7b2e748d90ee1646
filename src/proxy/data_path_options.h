#pragma once

#include <cstddef>
#include <string>

#include "base/time.h"

namespace cometstand::proxy {

/// Adaptive limits on requests in work; see concurrency_limit.h.
struct LimitOptions {
  /// Pause between two cuts of one limit.
  Duration cut_interval = std::chrono::milliseconds(100);
  /// Factor of a cut.
  double cut_factor = 0.8;
};

/// Choice of endpoints; see balancer.h.
struct BalancerOptions {
  /// The proxy's own zone; empty for no preference.
  std::string zone;
  /// Utilisation (requests by slots) of the better of two local endpoints from which other zones are tried.
  double spill_over_utilisation = 0.8;
  /// Added to the utilisation of endpoints of other zones when they are compared with local ones.
  double remote_zone_penalty = 0.25;
  /// Time in which a load report loses half of its weight.
  Duration load_report_half_life = std::chrono::seconds(1);
  /// How long an endpoint that was cold gets less than its full share.
  Duration slow_start = std::chrono::seconds(10);
  /// Failures in a row that eject an endpoint.
  unsigned ejection_failures = 5;
  /// First ejection; each further one is longer by as much, up to the maximum.
  Duration ejection_base = std::chrono::seconds(2);
  Duration ejection_maximum = std::chrono::seconds(30);
  /// Share of a service's endpoints that may be ejected at once.
  double ejection_limit = 0.5;
  /// Below this share of endpoints that are not ejected, ejections are ignored.
  double panic_threshold = 0.5;
  /// Of each endpoint's limit, which is cut when the endpoint sheds.
  LimitOptions limit;
};

/// Admission; see admission_queue.h.
struct AdmissionOptions {
  /// Requests in flight over all tenants.
  std::size_t max_in_flight = 1024;
  /// Requests in flight of a tenant whose own limit is not set.
  std::size_t tenant_max_in_flight = 256;
  /// Requests that wait, by tenant.
  std::size_t tenant_max_queued = 256;
  /// Shortest time that a refused caller is told to wait; up to twice as long by jitter.
  Duration minimum_retry_after = std::chrono::milliseconds(100);
  Duration maximum_retry_after = std::chrono::seconds(10);
  /// Of each service's limit, which is cut when time runs out.
  LimitOptions limit;
};

/// Retries; see retry_policy.h.
struct RetryOptions {
  /// Retries that one success pays for.
  double budget_share = 0.2;
  /// Retries a service may do without successes before, and the most that are saved up.
  double budget_maximum = 10;
  /// First pause after a back end shed load; doubles with each attempt, spread by jitter.
  Duration backoff_base = std::chrono::milliseconds(5);
  Duration backoff_maximum = std::chrono::milliseconds(250);
  /// When a caller is told to come back after its request could not run; up to twice as long by jitter.
  Duration retry_after = std::chrono::milliseconds(200);
};

/// Options of the whole data path. Settings under `proxy.*` have the same names and defaults.
struct DataPathOptions {
  BalancerOptions balancer;
  AdmissionOptions admission;
  RetryOptions retry;
  /// Names this run of the proxy in the claims that it takes, unique over all proxies and runs.
  std::string claim_prefix = "proxy";
  /// Largest recorded answer of a request that may not be repeated.
  std::size_t max_recorded_answer_bytes = 64U * 1024U;
  /// How long requests in flight may go on after a planned stop began.
  Duration drain_limit = std::chrono::seconds(30);
  /// How long after the stop's announcement new requests are still served, so that callers can move.
  Duration drain_grace = std::chrono::milliseconds(500);
};

}  // namespace cometstand::proxy

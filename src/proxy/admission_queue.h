#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/random.h"
#include "proxy/concurrency_limit.h"
#include "proxy/data_path_options.h"
#include "proxy/identifiers.h"
#include "proxy/metrics.h"
#include "schema/objects_generated.h"

namespace cometstand::proxy {

struct AdmissionRequest {
  RequestId id;
  ServiceKey service;
  wire::RequestClass request_class = wire::RequestClass::Interactive;
  TimePoint deadline;
};

struct AdmissionRefusal {
  RequestId id;
  RefusalReason reason;
  /// When to come back, spread by jitter.
  Duration retry_after;
};

/// What became of requests since the last call.
struct AdmissionChanges {
  std::vector<RequestId> admitted;
  std::vector<AdmissionRefusal> refused;
};

/// How an admitted request left, as far as the service's limit is concerned.
enum class WorkResult : std::uint8_t { Success, Overload, Neutral };

/// Admits requests within limits of the proxy, the tenant and the service; the others wait in bounded queues
/// by tenant, service and class. Tenants take turns; within a tenant a lower class value goes first. A
/// request that will not make its deadline is refused at once rather than queued. Refusals are final. A plain
/// state machine that is handed the time.
class AdmissionQueue {
 public:
  AdmissionQueue(const AdmissionOptions& options, std::uint64_t seed) : options_(options), random_(seed) {}

  /// Sets the tenant's own limit on requests in flight; 0 for the proxy's default.
  void setTenantLimit(const std::string& tenant, unsigned max_in_flight);

  /// Sets the requests that a service's endpoints may take from this proxy now.
  void setCapacity(const ServiceKey& service, unsigned capacity);

  /// Admits, queues or refuses; takeChanges() tells which.
  void offer(const AdmissionRequest& request, TimePoint now);

  /// An admitted request ended. @param work_time how long it was in work.
  void release(const ServiceKey& service, WorkResult result, Duration work_time, TimePoint now);

  /// Forgets a waiting request whose caller is gone. Does nothing if it does not wait.
  void remove(RequestId id);

  /// Refuses the waiting requests whose deadline passed, and admits others if there is room.
  void onTimer(TimePoint now);

  /// @return the next deadline of a waiting request; TimePoint::max() for none.
  TimePoint nextTimer() const;

  AdmissionChanges takeChanges() { return std::exchange(changes_, {}); }

  std::size_t inFlight() const { return in_flight_; }
  std::size_t queued() const { return waiting_.size(); }
  /// @return the service's present limit; for metrics and tests.
  unsigned limit(const ServiceKey& service) const;

 private:
  static constexpr std::size_t kClasses = 4;

  struct ServiceState {
    ConcurrencyLimit limit;
    unsigned in_flight = 0;
    /// Moving average of the time in work, zero until a request ended.
    Duration mean_work_time = Duration::zero();
    std::array<std::deque<RequestId>, kClasses> queues;
  };

  struct TenantState {
    std::size_t max_in_flight = 0;
    std::size_t in_flight = 0;
    std::size_t queued = 0;
    std::map<std::string, ServiceState> services;
  };

  bool hasRoom(const TenantState& tenant) const;
  ServiceState& serviceState(const ServiceKey& service);
  void admit(const ServiceKey& service, RequestId id);
  void refuse(RequestId id, RefusalReason reason, const ServiceState& service);
  bool displaceFor(TenantState& tenant, wire::RequestClass request_class);
  bool admitOneOf(const std::string& name, TenantState& tenant);
  void admitWaiting();
  void dequeue(RequestId id);
  static Duration expectedWait(const ServiceState& service, std::size_t classes);
  Duration retryAfter(const ServiceState& service);

  AdmissionOptions options_;
  RandomSource random_;
  std::map<std::string, TenantState> tenants_;
  std::map<RequestId, AdmissionRequest> waiting_;
  std::set<std::pair<TimePoint, RequestId>> deadlines_;
  /// The tenant that was served last; the next one in order goes first.
  std::string last_served_;
  std::size_t in_flight_ = 0;
  AdmissionChanges changes_;
};

}  // namespace cometstand::proxy

#pragma once

#include <algorithm>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "base/random.h"
#include "proxy/data_path_options.h"
#include "proxy/endpoint_set.h"

namespace cometstand::proxy {

/// How one attempt at an endpoint ended, as far as balancing is concerned.
enum class AttemptVerdict : std::uint8_t {
  /// A whole answer that is no server error.
  Success,
  /// No connection, an answer cut short, a server error, or the attempt's time ran out.
  Failure,
  /// The endpoint said that it did not run the request for want of capacity.
  Shed,
  /// The endpoint said that it leaves.
  Leaving,
  /// Ended by the proxy or the caller: says nothing about the endpoint.
  Neutral,
};

/// Chooses endpoints: the better of two random ones by utilisation, local zone first. Keeps count of what is
/// outstanding. A plain state machine that is handed the time.
class Balancer {
 public:
  Balancer(const BalancerOptions& options, std::uint64_t seed) : options_(options), random_(seed) {}

  EndpointSet& endpointSet() { return endpoints_; }
  const EndpointSet& endpointSet() const { return endpoints_; }

  /// Sets among how many proxies the endpoints' connections are shared; at least 1.
  void setSharingProxies(unsigned proxies) { sharing_proxies_ = std::max(1U, proxies); }

  /// Endpoints and zones that earlier attempts of the request used; avoided while there are others.
  struct Avoid {
    std::vector<EndpointPointer> endpoints;
    /// Empty for none.
    std::string zone;
  };

  /// Chooses an endpoint with a free slot and counts the attempt as outstanding there.
  /// @return nullptr if no endpoint may take the request now.
  EndpointPointer pick(const ServiceKey& service, const Avoid& avoid, TimePoint now);

  /// Ends an attempt that pick() began.
  void finish(Endpoint& endpoint, AttemptVerdict verdict, TimePoint now);

  /// Takes the value of an X-Load header. Call it before finish().
  static void onLoadReport(Endpoint& endpoint, double load, TimePoint now);

  /// @return requests that this proxy may have outstanding at the endpoint. One that says itself that it is
  /// cold gets a part of its slots; one in slow start gets the others only while no warm one has a free slot.
  unsigned slotLimit(const Endpoint& endpoint, TimePoint now) const;

  /// @return connections that this proxy may hold to the endpoint; at least 1.
  unsigned connectionBudget(const Endpoint& endpoint) const {
    return std::max(1U, endpoint.max_connections / sharing_proxies_);
  }

  /// @return requests that this proxy may have outstanding over all endpoints of the service.
  unsigned capacity(const ServiceKey& service, TimePoint now) const;

  /// @return true if any endpoint of the service may take work, though its slots may be busy.
  bool hasEndpoints(const ServiceKey& service, TimePoint now) const;

  /// @return ejections so far.
  std::uint64_t ejections() const { return ejections_; }

 private:
  std::vector<EndpointPointer> candidates(const ServiceKey& service, TimePoint now) const;
  EndpointPointer betterOfTwo(const std::vector<EndpointPointer>& from, TimePoint now);
  double score(const Endpoint& endpoint, TimePoint now) const;
  unsigned warmSlots(const Endpoint& endpoint, TimePoint now) const;
  bool takesPart(const Endpoint& endpoint, TimePoint now);
  double warmth(const Endpoint& endpoint, TimePoint now) const;
  bool mayEject(const ServiceKey& service, TimePoint now) const;

  BalancerOptions options_;
  RandomSource random_;
  EndpointSet endpoints_;
  unsigned sharing_proxies_ = 1;
  std::uint64_t ejections_ = 0;
};

}  // namespace cometstand::proxy

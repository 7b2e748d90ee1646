#pragma once

#include "mesh/zone_map.h"
#include "sidecar/endpoint.h"
#include "sidecar/known_statements.h"
#include "sidecar/zone_evacuations.h"

namespace cometstand::sidecar {

/// Decides which endpoints are eligible for a request, based on what the sender knows. The rules are
/// independent of each other; EndpointCost ranks the eligible endpoints.
class EndpointFilter {
 public:
  /// @param zones, evacuations, statements must outlive the filter.
  EndpointFilter(const mesh::ZoneMap& zones, const ZoneEvacuations& evacuations,
                 const KnownStatements& statements)
      : zones_(zones), evacuations_(evacuations), statements_(statements) {}

  /// @return true if the endpoint is up and linked.
  static bool isReachable(const Endpoint& endpoint) { return endpoint.live && endpoint.linked; }
  /// @return true if the endpoint may get the request as soon as it has capacity for one more.
  bool isEligible(const Endpoint& endpoint, const EndpointCriteria& criteria) const;
  /// @return true if the endpoint may get the request now.
  bool admits(const Endpoint& endpoint, const EndpointCriteria& criteria, TimePoint now) const;
  /// @return true if the request may be served in the endpoint's region.
  bool isAllowedRegion(const Endpoint& endpoint, const EndpointCriteria& criteria) const;

 private:
  /// @return true if the endpoint is warm, or is cold and has capacity for another request.
  static bool hasColdCapacity(const Endpoint& endpoint, TimePoint now);

  const mesh::ZoneMap& zones_;
  const ZoneEvacuations& evacuations_;
  const KnownStatements& statements_;
};

}  // namespace cometstand::sidecar

#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "proxy/endpoint.h"
#include "schema/control_generated.h"
#include "schema/objects_generated.h"

namespace cometstand::proxy {

/// The endpoints of every service: those of the configuration merged with liveness records. A record beats
/// the configuration; it may also name an endpoint that the configuration does not know, so that churn needs
/// no configuration change. A configured endpoint without a record counts as live.
/// A plain state machine that is handed the time.
class EndpointSet {
 public:
  using ServiceMap = std::map<ServiceKey, std::shared_ptr<const wire::ServiceSpecT>>;

  /// Takes the services of a new view. Services that are gone lose their endpoints.
  void setServices(const ServiceMap& services, TimePoint now);

  /// Takes one record. Ignores it unless it is newer by (incarnation, sequence, state).
  void applyRecord(const wire::EndpointRecordT& record, TimePoint now);

  /// @return the endpoints in service, in the order of their names; empty for an unknown service.
  const std::vector<EndpointPointer>& endpoints(const ServiceKey& service) const;

  /// @return true if the configuration holds the service.
  bool hasService(const ServiceKey& service) const;

 private:
  struct Service {
    /// Null while only records name the service.
    std::shared_ptr<const wire::ServiceSpecT> spec;
    std::map<std::string, wire::EndpointRecordT> records;
    /// Every endpoint known, whatever its state.
    std::map<std::string, EndpointPointer> known;
    std::vector<EndpointPointer> in_service;
    /// Endpoints that appear after the first ones are new to the mesh and start slowly.
    bool built = false;
  };

  static void rebuild(const ServiceKey& key, Service& service, TimePoint now);
  static EndpointPointer& addKnown(const ServiceKey& key, Service& service, const std::string& name,
                                   TimePoint now);
  static void overlay(Endpoint& endpoint, const wire::EndpointRecordT& record, TimePoint now);

  std::map<ServiceKey, Service> services_;
};

}  // namespace cometstand::proxy

#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/random.h"
#include "runtime/process_core.h"
#include "schema/control_generated.h"
#include "sidecar/endpoint.h"
#include "sidecar/endpoint_cost.h"
#include "sidecar/endpoint_filter.h"
#include "sidecar/known_statements.h"
#include "sidecar/region_links.h"
#include "sidecar/sidecar_options.h"
#include "sidecar/zone_health.h"

namespace cometstand::sidecar {

/// Endpoints of the mesh, from the records of the stores and the replies of the endpoints. The data is
/// advisory: a target's own sidecar decides which requests the target gets.
class EndpointDirectory {
 public:
  /// @param options, evacuations must outlive the directory.
  EndpointDirectory(const SidecarOptions& options, const ZoneEvacuations& evacuations)
      : options_(options),
        filter_(options.zones, evacuations, statements_),
        region_links_(options),
        cost_(options, region_links_),
        zone_health_(options.zone) {}

  /// Applies records of one store, in the order in which it sent them.
  /// @param is_whole the records are a full snapshot; endpoints that it does not list expire soon.
  void apply(const wire::EndpointUpdateT& update, bool is_whole, TimePoint now);

  Endpoint* find(const runtime::Address& address);
  const std::map<runtime::Address, Endpoint>& all() const { return endpoints_; }

  /// Selects the endpoint for a request. Apart from occasional probes, endpoints of an unresponsive zone (see
  /// ZoneHealth) get only requests that no other zone can take and that may be repeated: such a zone may
  /// receive requests although its responses are lost.
  /// @param tried endpoints that are not selected.
  /// @return the endpoint to send the request to; nullptr if there is none.
  Endpoint* choose(const EndpointCriteria& criteria, const std::set<runtime::Address>& tried,
                   RandomSource& random, TimePoint now);

  /// @return time until the first endpoint that is eligible for the request is warm and, if its target has a
  /// rate limit, this sidecar's next turn; zero if none is eligible.
  Duration timeUntilCapacity(const EndpointCriteria& criteria, TimePoint now) const;
  /// Records that the link to the address was opened.
  void noteLinked(const runtime::Address& address, TimePoint now);
  /// Records that the link to the address ended or could not be opened.
  void noteLinkFailed(const runtime::Address& address, TimePoint now);
  /// Marks the local endpoint as reachable, since it needs no link.
  void noteLocalEndpoint(const runtime::Address& address);
  /// Records that this sidecar closed its link to the address. This does not affect the health of the zone.
  void noteLinkClosed(const runtime::Address& address);
  /// @return true if the request may be served in the endpoint's region.
  bool isAllowedRegion(const Endpoint& endpoint, const EndpointCriteria& criteria) const {
    return filter_.isAllowedRegion(endpoint, criteria);
  }

  /// @return true if a live endpoint of the service is known, reachable or not.
  bool knows(const std::string& service) const;

  /// @return what the endpoint's target has stated to this sidecar; nullptr if nothing.
  const wire::TargetStatementT* statementOf(const Endpoint& endpoint) const {
    return statements_.find(endpoint);
  }

  RegionLinks& regionLinks() { return region_links_; }
  const RegionLinks& regionLinks() const { return region_links_; }

  /// Records that a request is sent to the endpoint.
  static void noteSent(Endpoint& endpoint, TimePoint now);
  /// Records the time that a target of the service took to respond.
  void noteAnswered(const std::string& service, Duration time) { cost_.noteAnswered(service, time); }
  void onReply(Endpoint& endpoint, const wire::ForwardReplyT& reply, TimePoint now);

  /// Removes expired endpoints. @return the removed addresses.
  std::vector<runtime::Address> expire(TimePoint now);

 private:
  /// Reduces the candidates to the number that corresponds to the canary share. Senders with the same
  /// candidates keep the same ones.
  static void limitToCanaryShare(std::vector<Endpoint*>& candidates, unsigned permille);
  /// Records the endpoints with overdue replies in zone_health_.
  void noteOverdueEndpoints(const std::vector<Endpoint*>& endpoints, TimePoint now);
  /// @return the candidate with the lowest cost; nullptr if there are no candidates.
  Endpoint* findLowestCost(const std::vector<Endpoint*>& candidates, const EndpointCriteria& criteria,
                           const LoadEstimate& estimate, RandomSource& random, TimePoint now) const;
  /// Records a probe if the request is one.
  /// @param endpoint the candidate with the lowest cost, in an unresponsive zone.
  /// @return true if the request is sent to the endpoint nevertheless.
  bool maySendToUnresponsiveZone(const Endpoint& endpoint, const EndpointCriteria& criteria,
                                 bool is_only_choice, TimePoint now);
  static void resetTargetState(Endpoint& endpoint);
  void setService(Endpoint& endpoint, const std::string& service);
  void removeFromLists(Endpoint& endpoint);
  void setLinked(Endpoint& endpoint, bool is_linked);
  void addToLinked(Endpoint& endpoint);
  /// Updates the number of senders in the own region: every sidecar with an endpoint there may send requests
  /// to other regions.
  void updateSenderCount();

  const SidecarOptions& options_;
  EndpointFilter filter_;
  RegionLinks region_links_;
  EndpointCost cost_;
  ZoneHealth zone_health_;
  KnownStatements statements_;
  std::map<runtime::Address, Endpoint> endpoints_;
  /// Endpoints by service.
  std::map<std::string, std::vector<Endpoint*>> by_service_;
  std::uint64_t last_endpoint_number_ = 0;
  /// Reachable endpoints by service, so that endpoint selection visits only those of the request's service.
  std::map<std::string, std::vector<Endpoint*>> linked_;
};

}  // namespace cometstand::sidecar

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
#include "sidecar/region_links.h"
#include "sidecar/sidecar_options.h"

namespace cometstand::sidecar {

/// The endpoints of the mesh as the stores and the answers of the endpoints themselves tell. Hints: the
/// sidecar beside a target decides what the target gets.
class EndpointDirectory {
 public:
  /// @param options, evacuations must outlive the directory.
  EndpointDirectory(const SidecarOptions& options, const ZoneEvacuations& evacuations)
      : options_(options),
        filter_(options.zones, evacuations),
        region_links_(options),
        cost_(options, region_links_) {}

  /// Takes the records of one store over, in the order in which it sent them.
  /// @param is_whole the records are all that the store knows; others expire soon.
  void apply(const wire::EndpointUpdateT& update, bool is_whole, TimePoint now);

  Endpoint* find(const runtime::Address& address);
  const std::map<runtime::Address, Endpoint>& all() const { return endpoints_; }

  /// @param tried are not chosen.
  /// @return the endpoint to send the next request to; nullptr if there is none.
  Endpoint* choose(const EndpointWant& want, const std::set<runtime::Address>& tried, RandomSource& random,
                   TimePoint now);

  /// @return true if the request may be served in the endpoint's region.
  bool isAllowedRegion(const Endpoint& endpoint, const EndpointWant& want) const {
    return filter_.isAllowedRegion(endpoint, want);
  }

  /// @return true if a live endpoint of the service is known, reachable or not.
  bool knows(const std::string& service) const;

  RegionLinks& regionLinks() { return region_links_; }
  const RegionLinks& regionLinks() const { return region_links_; }

  /// A request goes to the endpoint.
  static void noteSent(Endpoint& endpoint, TimePoint now);
  /// A target of the service answered after that time.
  void noteAnswered(const std::string& service, Duration time) { cost_.noteAnswered(service, time); }
  void onReply(Endpoint& endpoint, const wire::ForwardReplyT& reply, TimePoint now) const;

  /// Takes out what has expired. @return the addresses that went.
  std::vector<runtime::Address> expire(TimePoint now);

 private:
  /// Leaves as many of the candidates as the share of a new version wants, the same at every sender.
  static void keepShare(std::vector<Endpoint*>& candidates, unsigned permille);
  void setService(Endpoint& endpoint, const std::string& service);
  void unlist(Endpoint& endpoint);
  /// Whoever has an endpoint in the own region may send to others.
  void countSenders();

  const SidecarOptions& options_;
  EndpointFilter filter_;
  RegionLinks region_links_;
  EndpointCost cost_;
  std::map<runtime::Address, Endpoint> endpoints_;
  /// The same by service: a request looks at those of its own service only.
  std::map<std::string, std::vector<Endpoint*>> by_service_;
};

}  // namespace cometstand::sidecar

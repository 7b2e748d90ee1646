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
#include "sidecar/zone_health.h"

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
        cost_(options, region_links_),
        zone_health_(options.zone) {}

  /// Takes the records of one store over, in the order in which it sent them.
  /// @param is_whole the records are all that the store knows; others expire soon.
  void apply(const wire::EndpointUpdateT& update, bool is_whole, TimePoint now);

  Endpoint* find(const runtime::Address& address);
  const std::map<runtime::Address, Endpoint>& all() const { return endpoints_; }

  /// Endpoints of a dark zone (see ZoneHealth) get a probe now and then, else only what no other zone can
  /// take, and that only if it may be repeated: such a zone may hear without being heard.
  /// @param tried are not chosen.
  /// @return the endpoint to send the next request to; nullptr if there is none.
  Endpoint* choose(const EndpointWant& want, const std::set<runtime::Address>& tried, RandomSource& random,
                   TimePoint now);

  /// @return time until the first endpoint that may get such a request is warm; zero if one is, or there is
  /// none.
  Duration coldTime(const EndpointWant& want, TimePoint now) const;
  /// The link to the address was opened.
  void noteLinked(const runtime::Address& address, TimePoint now);
  /// The link to the address ended, or could not be opened.
  void noteUnlinked(const runtime::Address& address, TimePoint now);
  /// The endpoint beside this sidecar needs no link.
  void noteOwn(const runtime::Address& address);
  /// This sidecar gives up its link to the address: that says nothing of the endpoint.
  void noteReleased(const runtime::Address& address);
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
  void onReply(Endpoint& endpoint, const wire::ForwardReplyT& reply, TimePoint now);

  /// Takes out what has expired. @return the addresses that went.
  std::vector<runtime::Address> expire(TimePoint now);

 private:
  /// Leaves as many of the candidates as the share of a new version wants, the same at every sender.
  static void keepShare(std::vector<Endpoint*>& candidates, unsigned permille);
  /// Tells zone_health_ of the endpoints that are silent.
  void noteSilent(const std::vector<Endpoint*>& endpoints, TimePoint now);
  /// @return the candidate of the least cost; nullptr without candidates.
  Endpoint* cheapest(const std::vector<Endpoint*>& candidates, const EndpointWant& want,
                     const LoadEstimate& estimate, RandomSource& random, TimePoint now) const;
  /// @return true if the endpoint of a dark zone, the cheapest of all, gets the request all the same.
  bool isSentToDark(const Endpoint& endpoint, const EndpointWant& want, bool is_only_choice, TimePoint now);
  static void forgetTarget(Endpoint& endpoint);
  void setService(Endpoint& endpoint, const std::string& service);
  void unlist(Endpoint& endpoint);
  void setLinked(Endpoint& endpoint, bool is_linked);
  void listLinked(Endpoint& endpoint);
  /// Whoever has an endpoint in the own region may send to others.
  void countSenders();

  const SidecarOptions& options_;
  EndpointFilter filter_;
  RegionLinks region_links_;
  EndpointCost cost_;
  ZoneHealth zone_health_;
  std::map<runtime::Address, Endpoint> endpoints_;
  /// The same by service.
  std::map<std::string, std::vector<Endpoint*>> by_service_;
  std::uint64_t last_number_ = 0;
  /// Those that can be reached: a request looks at these of its own service only, however many there are.
  std::map<std::string, std::vector<Endpoint*>> linked_;
};

}  // namespace cometstand::sidecar

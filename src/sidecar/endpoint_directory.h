#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/random.h"
#include "runtime/process_core.h"
#include "schema/control_generated.h"
#include "sidecar/load_estimate.h"
#include "sidecar/sidecar_options.h"
#include "sidecar/version_filter.h"

namespace cometstand::sidecar {

/// What is known of one endpoint: a target and the sidecar beside it.
struct Endpoint {
  /// Where the sidecar beside the target listens.
  runtime::Address address;
  std::string service;
  std::string instance;
  /// Of the target's software; empty if not known.
  std::string version;
  std::string zone;
  unsigned slots = 1;
  bool live = false;
  /// Can be reached now.
  bool linked = false;
  /// Requests sent by this sidecar and not answered yet.
  unsigned outstanding = 0;
  /// Requests that the target had when it last answered this sidecar.
  unsigned reported_load = 0;
  /// Share of the target's runs that lately ended without a whole answer, as its sidecar said.
  double failure_rate = 0;
  /// Time that the target takes for a run, as a share of the run's objective, as its sidecar said; 0 if not
  /// known.
  double run_time = 0;
  /// Time until the endpoint could receive another large body, as its sidecar said.
  Duration intake_wait{};
  TimePoint reported_at;
  /// While requests are outstanding: since when nothing was heard of the endpoint.
  TimePoint silent_since;
  /// Not chosen before, unless there is no other.
  TimePoint avoid_until;
  /// Taken out then, unless a store names it again.
  std::optional<TimePoint> expires_at;
};

/// What an endpoint is wanted for.
struct EndpointWant {
  std::string service;
  /// Size of the bodies of the request and, as far as known, of its answer.
  std::size_t bytes = 0;
  /// The request's body is announced and sent as the endpoint grants.
  bool has_large_body = false;
  /// How long the request may wait at an endpoint.
  Duration patience{};
  /// Versions that may get it.
  VersionFilter versions{};
};

/// The endpoints of the mesh as the stores and the answers of the endpoints themselves tell. Hints: the
/// sidecar beside a target decides what the target gets.
class EndpointDirectory {
 public:
  /// @param own_zone, zone_cost see SidecarOptions.
  EndpointDirectory(std::string own_zone, const OtherZoneCost& zone_cost)
      : own_zone_(std::move(own_zone)), zone_cost_(zone_cost) {}

  /// Takes the records of one store over, in the order in which it sent them.
  /// @param is_whole the records are all that the store knows; others expire soon.
  void apply(const wire::EndpointUpdateT& update, bool is_whole, TimePoint now);

  Endpoint* find(const runtime::Address& address);
  const std::map<runtime::Address, Endpoint>& all() const { return endpoints_; }

  /// @param tried are not chosen.
  /// @return the endpoint to send the next request to; nullptr if there is none.
  Endpoint* choose(const EndpointWant& want, const std::set<runtime::Address>& tried, RandomSource& random,
                   TimePoint now);

  /// @return true if a live endpoint of the service is known, reachable or not.
  bool knows(const std::string& service) const;

  /// A request goes to the endpoint.
  static void noteSent(Endpoint& endpoint, TimePoint now);
  /// A target of the service answered after that time.
  void noteAnswered(const std::string& service, Duration time);
  void onReply(Endpoint& endpoint, const wire::ForwardReplyT& reply, TimePoint now) const;

  /// Takes out what has expired. @return the addresses that went.
  std::vector<runtime::Address> expire(TimePoint now);

 private:
  /// Leaves as many of the candidates as the share of a new version wants, the same at every sender.
  static void keepShare(std::vector<Endpoint*>& candidates, unsigned permille);
  void setService(Endpoint& endpoint, const std::string& service);
  void unlist(Endpoint& endpoint);
  double scoreOf(const Endpoint& endpoint, const EndpointWant& want, const LoadEstimate& estimate,
                 RandomSource& random, TimePoint now) const;

  /// @return what the silence of an endpoint with outstanding requests costs, in units of a full target.
  double silenceCost(const Endpoint& endpoint, TimePoint now) const;

  std::string own_zone_;
  OtherZoneCost zone_cost_;
  std::map<runtime::Address, Endpoint> endpoints_;
  /// The same by service: a request looks at those of its own service only.
  std::map<std::string, std::vector<Endpoint*>> by_service_;
  /// Smoothed time from a request to its answer, by service, in microseconds.
  std::map<std::string, double> answer_time_;
};

}  // namespace cometstand::sidecar

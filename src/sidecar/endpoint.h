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

/// What is known of one endpoint: a target and the sidecar beside it.
struct Endpoint {
  /// Where the sidecar beside the target listens.
  runtime::Address address;
  std::string service;
  /// Rises with each endpoint that is listed under a service: the order in which a choice looks at them.
  std::uint64_t number = 0;
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
  /// Time until the large answers that the endpoint holds have been sent, as its sidecar said.
  Duration answer_wait{};
  TimePoint reported_at;
  /// While requests are outstanding: since when nothing was heard of the endpoint.
  TimePoint silent_since;
  /// Not chosen before, unless there is no other.
  TimePoint avoid_until;
  /// The target is cold until then, as far as is known.
  TimePoint cold_until;
  /// Requests that the target takes while it is cold, as its sidecar last said, less those sent since.
  unsigned cold_room = 0;
  /// While it is cold and has no room: not asked before.
  TimePoint cold_closed_until;
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
  /// Its answer is expected to be sent in parts.
  bool has_large_answer = false;
  /// How long the request may wait at an endpoint.
  Duration patience{};
  /// Versions that may get it.
  VersionFilter versions{};
  /// The only regions whose endpoints may get it; empty for all.
  std::vector<std::string> regions{};
  /// The request may be sent again once it may have run.
  bool may_repeat = true;
  /// The same by a configuration that came after the request: both bind. Empty for all.
  std::vector<std::string> newer_regions{};
  /// No more urgent requests come for the service.
  bool is_urgent = false;
  /// How likely it is refused altogether, from 0 to 1: the share of the sender's requests for the service
  /// that lately were, or 1 once an endpoint has refused this one.
  double refused_share = 0;
};

}  // namespace cometstand::sidecar

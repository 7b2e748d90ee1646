#include "sidecar/sidecar_settings.h"

#include "base/error.h"

namespace cometstand::sidecar {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

void declareSidecarSettings(settings::SettingsTable& table, SidecarSettings& sidecar) {
  auto& options = sidecar.options;
  settings::declareCommonSettings(table, sidecar.common);
  table.text("sidecar.node", options.node, "Name of this machine, unique in the mesh.").required();
  table.addresses("sidecar.seeds", options.seeds, "Stores to begin with; the others are learned from them.");
  table.number(
      "sidecar.retry_ratio", options.retry_ratio, {0, 1},
      "Sendings beyond the first of each request that all sidecars together may add, as a share of the "
      "requests for a service; each uses half of it at most.");
  table.number("sidecar.retry_burst", options.retry_burst, {0, 1'000},
               "Such sendings that may be saved up for a service.");
  table.number(
      "sidecar.retry_slack", options.retry_slack, {0, 1e6},
      "Such sendings in ten seconds that all sidecars together may add beyond the share; how many may be "
      "saved up for long follows from it and from the number of sidecars.");
  table.integer<unsigned>("sidecar.max_refusals", options.max_refusals, {1, 10},
                          "Endpoints that are asked one after another for a request that none has run.");
  table.number("sidecar.other_zone_cost", options.zone_cost.base, {0, 10},
               "What sending a request without bodies to another zone costs, in units of a full target.");
  table.number(
      "sidecar.other_zone_bytes", options.zone_cost.bytes_per_target, {1, 1e9},
      "Bytes of bodies that cost as much as a full target when they go to or come from another zone.");
  table.number("sidecar.other_region_bytes", options.region_bytes_per_target, {1, 1e9},
               "Bytes of bodies that cost as much as a full target when they go to or come from another "
               "region, besides what they cost between zones.");
  table.duration("sidecar.region_round_trip", options.region_round_trip, {milliseconds(0), seconds(10)},
                 "Time to another region and back while none was measured lately.");
  table.number(
      "sidecar.region_link_bandwidth", options.region_link_bandwidth, {0, 1e12},
      "Bytes a second that the link between two regions carries each way, for everything together; 0 "
      "if that is not known or has no bound.");
  table.texts("sidecar.zones", sidecar.zones,
              "All zones with their regions, each as zone=region; none if all zones are in one region.");
  table.number("sidecar.cold_overshoot", options.cold_overshoot, {1, 100},
               "Bound on the requests that a cold target gets in any second: times the rate that the "
               "configuration names for its service.");
  table.number("sidecar.cold_slack", options.cold_slack, {0, 100'000},
               "Requests that a cold target may get in any second besides that.");
  table.integer<unsigned>("sidecar.answer_credit", options.answer_credit, {0, 1'000'000},
                          "Answers from other machines with bodies of more bytes than these come in parts as "
                          "they are granted, so that other messages pass in between; 0: in one message.");
  table.number("sidecar.queue_share", options.queue_share, {0, 1},
               "Part of a request's objective that it may wait for a slot of its target.");
  table.duration("sidecar.least_patience", options.least_patience, {milliseconds(0), seconds(10)},
                 "Requests of a short objective may wait this long for a slot all the same.");
  table.integer<unsigned>(
      "sidecar.long_objective_ratio", options.long_objective_ratio, {1, 1'000'000},
      "Requests whose objective is so many times the shortest that comes leave the last slot of a "
      "target to others.");
  table.duration("sidecar.leaving_grace", options.leaving_grace, {milliseconds(0), seconds(10)},
                 "How long new requests are still passed to a target that begins to leave.");
  table.duration(
      "sidecar.stop_minimum", options.stop_minimum, {milliseconds(0), minutes(1)},
      "A planned stop: callers are served at least this long after the sidecar is not ready any more.");
  table.duration("sidecar.stop_accept_all", options.stop_accept_all, {milliseconds(0), minutes(1)},
                 "A planned stop: after this time, only requests are taken whose own time is up before "
                 "the last 200 ms of sidecar.stop_time_limit.");
  table.duration("sidecar.stop_time_limit", options.stop_time_limit,
                 {SidecarOptions::kStopReserve, minutes(10)},
                 "A planned stop must be complete after this time, or the process is killed.");
  table.check([&sidecar] {
    // Throws if an entry has another form.
    const mesh::ZoneMap zones(sidecar.zones);
    if (!sidecar.common.listen.host.empty()) return;
    throw Error(ErrorKind::Invalid, "listen.address is not set",
                "set listen.address to an IP address and port");
  });
}

void completeSidecarOptions(SidecarSettings& sidecar) {
  sidecar.options.zone = sidecar.common.zone;
  sidecar.options.zones = mesh::ZoneMap(sidecar.zones);
  sidecar.options.advertise = sidecar.common.listen;
}

}  // namespace cometstand::sidecar

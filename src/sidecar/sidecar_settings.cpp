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
  table.addresses("sidecar.seeds", options.seeds,
                  "Initial stores; the other stores are discovered through them.");
  table.number("sidecar.retry_ratio", options.retry_ratio, {0, 1},
               "Limit on the attempts beyond the first of each request by all sidecars together, as a ratio "
               "of the requests for a service; each sidecar uses at most half of it.");
  table.number("sidecar.retry_burst", options.retry_burst, {0, 1'000},
               "Number of additional attempts that may accumulate for a service.");
  table.number(
      "sidecar.retry_slack", options.retry_slack, {0, 1e6},
      "Number of additional attempts that all sidecars together may make in ten seconds beyond the ratio; "
      "how many may accumulate over longer times follows from this and from the number of sidecars.");
  table.integer<unsigned>(
      "sidecar.max_refusals", options.max_refusals, {1, 10},
      "Maximum number of endpoints that a request is sent to one after another while each refuses it.");
  table.number(
      "sidecar.other_zone_cost", options.zone_cost.base, {0, 10},
      "Cost of sending a request without bodies to another zone, in units of the load of a full target.");
  table.number("sidecar.other_zone_bytes", options.zone_cost.bytes_per_target, {1, 1e9},
               "Number of body bytes whose transfer to or from another zone costs as much as the load of a "
               "full target.");
  table.number("sidecar.other_region_bytes", options.region_bytes_per_target, {1, 1e9},
               "Number of body bytes whose transfer to or from another region costs as much as the load of a "
               "full target, in addition to the cost between zones.");
  table.duration("sidecar.region_round_trip", options.region_round_trip, {milliseconds(0), seconds(10)},
                 "Assumed round-trip time to another region while there is no recent measurement.");
  table.number("sidecar.region_link_bandwidth", options.region_link_bandwidth, {0, 1e12},
               "Bandwidth of the link between two regions in each direction, in bytes per second, shared by "
               "all senders; 0 if it is unknown or unlimited.");
  table.texts("sidecar.zones", sidecar.zones,
              "All zones with their regions, each as zone=region; empty if all zones are in one region.");
  table.number("sidecar.cold_overshoot", options.cold_overshoot, {1, 100},
               "Limit on the requests that a cold target gets in any second, as a multiple of the rate that "
               "the configuration sets for its service.");
  table.number("sidecar.cold_slack", options.cold_slack, {0, 100'000},
               "Requests that a cold target may get in any second beyond sidecar.cold_overshoot.");
  table.integer<unsigned>(
      "sidecar.answer_credit", options.answer_credit, {0, 1'000'000},
      "Responses from other machines with bodies of more bytes than this are sent in parts as credit is "
      "granted, so that other messages can be sent in between; 0: each response is sent in one message.");
  table.number("sidecar.queue_share", options.queue_share, {0, 1},
               "Share of a request's latency objective that it may wait for a slot of its target.");
  table.duration("sidecar.least_patience", options.min_queue_wait, {milliseconds(0), seconds(10)},
                 "Minimum time that a request may wait for a slot, however short its latency objective.");
  table.integer<unsigned>("sidecar.long_objective_ratio", options.long_objective_ratio, {1, 1'000'000},
                          "The last free slot of a target is reserved for requests whose latency objective "
                          "is less than this many times the shortest objective received.");
  table.duration("sidecar.leaving_grace", options.leaving_grace, {milliseconds(0), seconds(10)},
                 "Time during which new requests are still sent to a target that has begun to leave.");
  table.duration("sidecar.stop_minimum", options.stop_minimum, {milliseconds(0), minutes(1)},
                 "Minimum time in a planned stop during which callers are still served after the sidecar "
                 "became not ready.");
  table.duration("sidecar.stop_accept_all", options.stop_accept_all, {milliseconds(0), minutes(1)},
                 "Time in a planned stop after which only requests are accepted whose deadline is before the "
                 "last 200 ms of sidecar.stop_time_limit.");
  table.duration("sidecar.stop_time_limit", options.stop_time_limit,
                 {SidecarOptions::kStopReserve, minutes(10)},
                 "Time after which the process is killed if a planned stop is not complete.");
  table.check([&sidecar] {
    // The constructor throws if an entry is not of the form ZONE=REGION.
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

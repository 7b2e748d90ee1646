#include "relay/relay_settings.h"

#include "base/error.h"

namespace cometstand::relay {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

void declareFollowing(settings::SettingsTable& table, RelayOptions& options) {
  table.text("relay.name", options.name, "Name of this relay, unique in the mesh.").required();
  table.address("relay.advertise", options.advertise,
                "Where proxies and other relays reach this relay; listen.address if not given.");
  table.addresses("relay.stores", options.stores, "Replicas of the store.").required();
  table.addresses("relay.peers", options.peers, "All other relays of the mesh.");
  table.duration("relay.upstream_beat_limit", options.upstream_beat_limit, {milliseconds(500), minutes(1)},
                 "Without a quorum beat for this long, the relay looks for another upstream.");
  table.duration("relay.reconnect_minimum", options.reconnect_minimum, {milliseconds(10), seconds(10)},
                 "Smallest ceiling of the random pause before a connect.");
  table.duration("relay.reconnect_maximum", options.reconnect_maximum, {milliseconds(100), minutes(5)},
                 "Largest ceiling of the random pause before a connect.");
  table.duration("relay.report_interval", options.report_interval, {milliseconds(50), minutes(1)},
                 "At most one report of what proxies run goes up in this time.");
  table.duration("relay.request_limit", options.request_limit, {milliseconds(100), minutes(1)},
                 "How long a claim may take upstream before its outcome counts as unknown.");
}

void declareServing(settings::SettingsTable& table, RelayOptions& options) {
  table.duration(
      "relay.batch_window", options.batch_window, {milliseconds(0), seconds(5)},
      "The first change of a quiet period goes to proxies at once, those within this time after it "
      "together. Smaller converges faster, larger saves control bytes.");
  table.duration("relay.beat_interval", options.beat_interval, {milliseconds(50), minutes(1)},
                 "Interval of beats to proxies.");
  table.duration(
      "relay.change_beat_window", options.change_beat_window, {milliseconds(0), minutes(1)},
      "Proxies whose views a change leaves alone hear of its version within this time; at the beat "
      "interval or above, by the next beat.");
  table.duration("relay.catch_up_limit", options.catch_up_limit, {milliseconds(500), minutes(1)},
                 "How long a proxy waits for a relay that cannot serve it yet, before it is refused.");
  table.number("relay.join_rate", options.join_rate, {1, 1e6},
               "Proxies admitted each second after the burst.");
  table.number("relay.join_burst", options.join_burst, {1, 1e6},
               "Proxies admitted at once after a quiet time.");
  table.number("relay.handover_rate", options.handover_rate, {1, 1e6},
               "Proxies that a planned stop sends elsewhere each second.");
  table.duration("relay.stop_limit", options.stop_limit, {milliseconds(100), minutes(10)},
                 "Longest time that a planned stop waits for proxies to leave.");
  table.duration("relay.hello_limit", options.hello_limit, {milliseconds(500), minutes(1)},
                 "A link that names no role in this time is closed.");
  table.duration("relay.share_interval", options.share_interval, {milliseconds(50), minutes(1)},
                 "At most one connection share goes to proxies in this time.");
  table.duration("relay.peer_hold", options.peer_hold, {seconds(1), hours(1)},
                 "How long the proxies of a lost relay still count for connection shares.");
}

void declareEndpoints(settings::SettingsTable& table, RelaySettings& relay) {
  table.duration("relay.endpoint_lease", relay.options.endpoint_lease, {milliseconds(500), minutes(5)},
                 "An endpoint of the own zone that no probe reached for this long is treated as leaving.");
  table.duration("relay.sighting_hold", relay.options.sighting_hold, {milliseconds(500), minutes(5)},
                 "How long what a proxy saw on a request outranks probes and the machine list.");
  table.duration("relay.probe_interval", relay.prober.interval, {milliseconds(50), minutes(1)},
                 "Interval of probes to each endpoint of the own zone.");
  table.duration("relay.probe_time_limit", relay.prober.time_limit, {milliseconds(10), minutes(1)},
                 "A probe without an answer in this time has failed.");
  table.integer<std::size_t>("relay.probe_concurrency", relay.prober.concurrency, {1, 1000},
                             "Probes in flight at once.");
  table.address("relay.machine_list", relay.prober.machine_list,
                "Where the platform serves its list of machines; none if not given.");
}

}  // namespace

void declareRelaySettings(settings::SettingsTable& table, RelaySettings& relay) {
  settings::declareCommonSettings(table, relay.common);
  declareFollowing(table, relay.options);
  declareServing(table, relay.options);
  declareEndpoints(table, relay);
  table.check([&relay] {
    if (relay.common.zone.empty()) {
      throw Error(ErrorKind::Invalid, "zone is not set", "set zone to the zone of this machine");
    }
    if (relay.common.listen.host.empty()) {
      throw Error(ErrorKind::Invalid, "listen.address is not set",
                  "set listen.address to an IP address and port");
    }
    if (relay.options.endpoint_lease < 2 * relay.prober.interval) {
      throw Error(ErrorKind::Invalid, "relay.endpoint_lease is shorter than two probe intervals",
                  "set relay.endpoint_lease to at least twice relay.probe_interval");
    }
  });
}

void completeRelayOptions(RelaySettings& relay) {
  relay.options.zone = relay.common.zone;
  relay.options.region = relay.common.region;
  if (relay.options.advertise.host.empty()) relay.options.advertise = relay.common.listen;
}

}  // namespace cometstand::relay

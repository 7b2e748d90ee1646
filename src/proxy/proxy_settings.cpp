#include "proxy/proxy_settings.h"

#include <fmt/format.h>

#include "base/error.h"

namespace cometstand::proxy {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t kKibibyte = 1024;
constexpr std::uint64_t kMebibyte = kKibibyte * kKibibyte;

void declareControl(settings::SettingsTable& table, ControlOptions& control) {
  table.text("proxy.node", control.node, "Name of the node object that this proxy runs as.").required();
  table.text("proxy.token", control.token,
             "The node's secret token; empty if the node object was put without one.");
  table
      .rows<RelayAddress>("proxy.relays", control.relays, "Relays, in the order in which they are tried.",
                          [](settings::SettingsTable& row, RelayAddress& relay) {
                            row.address("address", relay.address, "Where the relay listens.").required();
                            row.text("zone", relay.zone,
                                     "The relay's zone; relays of the proxy's own zone are preferred.");
                          })
      .required();
  table.duration("proxy.beat_limit", control.beat_limit, {milliseconds(100), minutes(5)},
                 "Without a message from the relay for this long, the proxy looks for another one.");
  table.duration("proxy.stale_limit", control.stale_limit, {milliseconds(500), minutes(30)},
                 "Without a new quorum round for this long, another relay is tried beside the present one.");
  table.duration("proxy.hello_limit", control.hello_limit, {milliseconds(500), minutes(5)},
                 "A relay that sends neither view nor beat in this time is left.");
  table.duration("proxy.reconnect_minimum", control.reconnect_minimum, {milliseconds(10), seconds(10)},
                 "Smallest ceiling of the random pause before a connect.");
  table.duration("proxy.reconnect_maximum", control.reconnect_maximum, {milliseconds(100), minutes(5)},
                 "Largest ceiling of the random pause before a connect.");
  table.duration("proxy.claim_limit", control.claim_limit, {milliseconds(50), minutes(1)},
                 "How long the store's answer to a claim may take; without it the request is not sent.");
  table.duration(
      "proxy.claim_retry_limit", control.claim_retry_limit, {milliseconds(0), minutes(1)},
      "How long a claim is asked for again while the store has no leader; in a longer outage claims "
      "are refused at once.");
  table.duration("proxy.claim_finish_retry", control.claim_finish_retry, {milliseconds(100), minutes(5)},
                 "Pause before the end of a claim is reported again when no answer came.");
}

void declareHttpSizes(settings::SettingsTable& table, HttpOptions& http) {
  table.address("proxy.listen", http.listen, "Where callers connect.").required();
  table.integer<std::size_t>("proxy.max_connections", http.max_connections, {1, 1'000'000},
                             "Callers' connections at once; one more is refused with a time to come back.");
  table.size("proxy.max_request_header", http.max_request_header_bytes, {kKibibyte, kMebibyte},
             "Largest header of a request.");
  table.size("proxy.max_request_body", http.max_request_body_bytes, {0, 1024 * kMebibyte},
             "Largest body of a request; it is held in memory until the request has its answer.");
  table.size("proxy.max_response_header", http.max_response_header_bytes, {kKibibyte, kMebibyte},
             "Largest header of a back end's answer.");
  table.size("proxy.max_buffered_response", http.max_buffered_response_bytes, {0, 64 * kMebibyte},
             "Answers up to this size are buffered whole, so that one cut short can be tried again; larger "
             "ones are passed on as they come.");
}

void declareHttpLimits(settings::SettingsTable& table, HttpOptions& http) {
  table.duration("proxy.caller_idle_limit", http.caller_idle_limit, {milliseconds(100), hours(1)},
                 "How long a caller's connection may rest between requests.");
  table.duration("proxy.header_limit", http.header_limit, {milliseconds(100), minutes(5)},
                 "From the first byte of a request to the end of its header.");
  table.duration("proxy.body_limit", http.body_limit, {milliseconds(100), hours(1)},
                 "From the end of a request's header to the end of its body.");
  table.duration("proxy.stream_idle_limit", http.stream_idle_limit, {milliseconds(100), minutes(10)},
                 "Longest pause in giving or taking a part of a streamed answer.");
  table.duration("proxy.connect_limit", http.connect_limit, {milliseconds(10), minutes(1)},
                 "How long a connect to a back end may take.");
  table.duration("proxy.backend_idle_limit", http.backend_idle_limit, {milliseconds(50), minutes(10)},
                 "An idle connection to a back end is closed after this; keep it below the back ends' own.");
  table.duration("proxy.unrepeatable_idle_limit", http.unrepeatable_idle_limit, {milliseconds(0), minutes(1)},
                 "A request that may not be repeated takes only connections that were idle for less.");
}

void declareBalancer(settings::SettingsTable& table, BalancerOptions& balancer) {
  table.number("proxy.spill_over_utilisation", balancer.spill_over_utilisation, {0, 10},
               "Utilisation (requests by slots) of local endpoints from which other zones are tried.");
  table.number("proxy.remote_zone_penalty", balancer.remote_zone_penalty, {0, 10},
               "Added to the utilisation of other zones' endpoints when compared with local ones.");
  table.duration("proxy.load_report_half_life", balancer.load_report_half_life,
                 {milliseconds(10), minutes(5)},
                 "Time in which a back end's load report loses half of its weight.");
  table.duration("proxy.slow_start", balancer.slow_start, {milliseconds(0), minutes(30)},
                 "How long an endpoint that was cold gets less than its full share.");
  table.integer<unsigned>("proxy.ejection_failures", balancer.ejection_failures, {1, 1000},
                          "Failures in a row that eject an endpoint.");
  table.duration("proxy.ejection_base", balancer.ejection_base, {milliseconds(10), minutes(10)},
                 "First ejection; each further one is longer by as much.");
  table.duration("proxy.ejection_maximum", balancer.ejection_maximum, {milliseconds(10), hours(1)},
                 "Longest ejection.");
  table.number("proxy.ejection_limit", balancer.ejection_limit, {0, 1},
               "Share of a service's endpoints that may be ejected at once.");
  table.number("proxy.panic_threshold", balancer.panic_threshold, {0, 1},
               "Below this share of endpoints that are not ejected, ejections are ignored.");
}

void declareAdmission(settings::SettingsTable& table, AdmissionOptions& admission) {
  table.integer<std::size_t>("proxy.max_in_flight", admission.max_in_flight, {1, 1'000'000},
                             "Requests in flight over all tenants.");
  table.integer<std::size_t>("proxy.tenant_max_in_flight", admission.tenant_max_in_flight, {1, 1'000'000},
                             "Requests in flight of a tenant whose object sets no limit.");
  table.integer<std::size_t>("proxy.tenant_max_queued", admission.tenant_max_queued, {0, 1'000'000},
                             "Requests that wait, by tenant.");
  table.duration("proxy.minimum_retry_after", admission.minimum_retry_after, {milliseconds(1), minutes(1)},
                 "Shortest time that a refused caller is told to wait; up to twice as long by jitter.");
  table.duration("proxy.maximum_retry_after", admission.maximum_retry_after, {milliseconds(1), minutes(10)},
                 "Longest time that a refused caller is told to wait.");
  table.duration("proxy.limit_cut_interval", admission.limit.cut_interval, {milliseconds(1), minutes(1)},
                 "Pause between two cuts of a service's or an endpoint's concurrency limit.");
  table.number(
      "proxy.limit_cut_factor", admission.limit.cut_factor, {0.1, 1},
      "Factor of such a cut: of a service's limit when time runs out, of an endpoint's when it sheds.");
}

void declareRetries(settings::SettingsTable& table, RetryOptions& retry) {
  table.number("proxy.retry_budget_share", retry.budget_share, {0, 1}, "Retries that one success pays for.");
  table.number("proxy.retry_budget_maximum", retry.budget_maximum, {0, 1e6},
               "Retries that a service may save up.");
  table.duration("proxy.retry_backoff_base", retry.backoff_base, {milliseconds(0), minutes(1)},
                 "First pause after a back end shed load; doubles with each attempt, spread by jitter.");
  table.duration("proxy.retry_backoff_maximum", retry.backoff_maximum, {milliseconds(0), minutes(1)},
                 "Longest such pause.");
  table.duration("proxy.retry_after", retry.retry_after, {milliseconds(1), minutes(1)},
                 "When a caller is told to come back after its request could not run; up to twice as long by "
                 "jitter.");
}

void declareStop(settings::SettingsTable& table, ProxySettings& proxy) {
  table.size("proxy.max_recorded_answer", proxy.data_path.max_recorded_answer_bytes, {0, kMebibyte},
             "Largest answer of a claimed request that the store keeps for its resends.");
  table.duration("proxy.drain_limit", proxy.data_path.drain_limit, {milliseconds(100), hours(1)},
                 "How long requests in flight may go on after a planned stop began.");
  table.duration("proxy.drain_grace", proxy.data_path.drain_grace, {milliseconds(0), minutes(5)},
                 "How long a stopping proxy still takes new connections, so that callers can move.");
  table.duration(
      "proxy.claim_settle_limit", proxy.claim_settle_limit, {milliseconds(0), minutes(10)},
      "How long a stop waits, after the last request, for the store to confirm the ends of claims.");
}

void checkProxy(const ProxySettings& proxy) {
  if (proxy.common.data_folder.empty()) {
    throw Error(ErrorKind::Invalid, "data.folder is not set",
                "set data.folder to a folder of this proxy's own");
  }
  if (proxy.common.zone.empty()) {
    throw Error(ErrorKind::Invalid, "zone is not set", "set zone to the zone of this machine");
  }
  if (proxy.control.relays.empty()) {
    throw Error(ErrorKind::Invalid, "proxy.relays is empty", "name at least one relay in [[proxy.relays]]");
  }
  if (proxy.control.stale_limit < proxy.control.beat_limit) {
    throw Error(ErrorKind::Invalid, "proxy.stale_limit is shorter than proxy.beat_limit",
                "set proxy.stale_limit to at least proxy.beat_limit");
  }
  if (proxy.data_path.drain_limit < 2 * proxy.data_path.drain_grace) {
    throw Error(ErrorKind::Invalid, "proxy.drain_limit is shorter than twice proxy.drain_grace",
                "set proxy.drain_limit to at least twice proxy.drain_grace");
  }
}

}  // namespace

void declareProxySettings(settings::SettingsTable& table, ProxySettings& proxy) {
  settings::declareCommonSettings(table, proxy.common);
  declareControl(table, proxy.control);
  declareHttpSizes(table, proxy.http);
  declareHttpLimits(table, proxy.http);
  declareBalancer(table, proxy.data_path.balancer);
  declareAdmission(table, proxy.data_path.admission);
  declareRetries(table, proxy.data_path.retry);
  declareStop(table, proxy);
  table.check([&proxy] { checkProxy(proxy); });
}

void completeProxyOptions(ProxySettings& proxy, std::uint64_t incarnation) {
  proxy.control.zone = proxy.common.zone;
  proxy.control.incarnation = incarnation;
  proxy.data_path.balancer.zone = proxy.common.zone;
  proxy.data_path.balancer.limit = proxy.data_path.admission.limit;
  proxy.data_path.claim_prefix = fmt::format("{}-{:016x}", proxy.control.node, incarnation);
}

}  // namespace cometstand::proxy

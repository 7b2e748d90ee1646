#include "proxy/proxy_pages.h"

#include <array>
#include <string>
#include <string_view>

namespace cometstand::proxy {
namespace {

// In the order of wire::Outcome and of wire::RequestClass.
constexpr std::array<std::string_view, kOutcomes> kOutcomeNames{"completed", "not_run", "unknown"};
constexpr std::array<std::string_view, kRequestClasses> kClassNames{"interactive", "commit", "bulk",
                                                                    "leisure"};

}  // namespace

admin::Health ProxyPages::readiness() const {
  if (process_.ready()) return {};
  if (process_.control().ready()) return {false, "the proxy is stopping; send requests to another one"};
  return {false, "no view is in force; check proxy.relays, proxy.node and the node object"};
}

void ProxyPages::addMetrics(admin::MetricSet& metrics) const {
  addControlMetrics(metrics);
  addRequestMetrics(metrics);
}

void ProxyPages::addControlMetrics(admin::MetricSet& metrics) const {
  const auto& control = process_.control();
  metrics.gauge("cometstand_proxy_view_version", "Version of the view in force.",
                static_cast<double>(control.currentView()->version()));
  metrics.gauge("cometstand_proxy_as_of", "Version up to which the view in force is known to be current.",
                static_cast<double>(control.asOf()));
  metrics.gauge("cometstand_proxy_connected", "1 while a relay serves this proxy, else 0.",
                control.connected() ? 1 : 0);
  metrics.gauge("cometstand_proxy_sharing_proxies", "Proxies that share each endpoint's connections.",
                control.connectionShare());
}

void ProxyPages::addRequestMetrics(admin::MetricSet& metrics) const {
  const auto& data = process_.server().metrics();
  for (std::size_t outcome = 0; outcome < kOutcomes; ++outcome) {
    for (std::size_t request_class = 0; request_class < kRequestClasses; ++request_class) {
      metrics.counter("cometstand_proxy_requests_total", "Answered requests by outcome and class.",
                      static_cast<double>(data.requests.at(outcome).at(request_class)),
                      {{"outcome", std::string(kOutcomeNames.at(outcome))},
                       {"class", std::string(kClassNames.at(request_class))}});
    }
  }
  for (std::size_t reason = 0; reason < kRefusalReasons; ++reason) {
    metrics.counter("cometstand_proxy_refusals_total", "Requests refused before any attempt, by reason.",
                    static_cast<double>(data.refusals.at(reason)),
                    {{"reason", std::string(refusalReasonName(static_cast<RefusalReason>(reason)))}});
  }
  metrics.counter("cometstand_proxy_attempts_total", "Attempts at back ends, retries included.",
                  static_cast<double>(data.attempts));
  metrics.counter("cometstand_proxy_retries_total", "Attempts after the first of a request.",
                  static_cast<double>(data.retries));
  metrics.counter("cometstand_proxy_callers_gone_total", "Requests whose caller went away.",
                  static_cast<double>(data.callers_gone));
  metrics.counter("cometstand_proxy_claims_total", "Claims asked of the store.",
                  static_cast<double>(data.claims_asked));
  metrics.counter("cometstand_proxy_ejections_total", "Ejections of endpoints that failed in a row.",
                  static_cast<double>(data.ejections));
  metrics.gauge("cometstand_proxy_in_flight", "Requests neither answered nor given up.",
                static_cast<double>(data.in_flight));
  metrics.gauge("cometstand_proxy_queued", "Requests that wait to be admitted.",
                static_cast<double>(data.queued));
  metrics.gauge("cometstand_proxy_caller_connections", "Open connections of callers.",
                static_cast<double>(process_.server().callerConnections()));
}

}  // namespace cometstand::proxy

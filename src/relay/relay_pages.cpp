#include "relay/relay_pages.h"

#include <array>
#include <string_view>

namespace cometstand::relay {
namespace {

struct StateName {
  wire::EndpointState state;
  std::string_view name;
};

constexpr std::array kStateNames{
    StateName{wire::EndpointState::Cold, "cold"}, StateName{wire::EndpointState::Live, "live"},
    StateName{wire::EndpointState::Leaving, "leaving"}, StateName{wire::EndpointState::Gone, "gone"}};

double countIn(const EndpointTable& table, wire::EndpointState state) {
  double count = 0;
  for (const auto& [id, record] : table.records()) {
    if (record->state == state) ++count;
  }
  return count;
}

}  // namespace

admin::Health RelayPages::readiness() const {
  if (core_.isFresh(SteadyClock::now())) return {};
  return {false, "no quorum beat from the store; check the store's replicas and relay.stores"};
}

void RelayPages::addMetrics(admin::MetricSet& metrics) const {
  metrics.gauge("cometstand_relay_version", "Version up to which the relay has followed the store.",
                static_cast<double>(core_.version()));
  metrics.gauge("cometstand_relay_fresh", "1 while quorum beats of the store arrive, else 0.",
                core_.isFresh(SteadyClock::now()) ? 1 : 0);
  metrics.gauge("cometstand_relay_proxies", "Proxies that are served and do not stop.",
                static_cast<double>(core_.proxyCount()));
  for (const auto& [state, name] : kStateNames) {
    metrics.gauge("cometstand_relay_endpoints", "Endpoints of the mesh by state, as this relay knows them.",
                  countIn(core_.endpointTable(), state), {{"state", std::string(name)}});
  }
}

}  // namespace cometstand::relay

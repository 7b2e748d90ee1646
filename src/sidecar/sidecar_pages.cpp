#include "sidecar/sidecar_pages.h"

#include "admin/metric_set.h"

namespace cometstand::sidecar {

admin::Health SidecarPages::readiness() const {
  if (core_.stopping()) return {false, "a planned stop is under way"};
  if (core_.routes() == nullptr) return {false, "no configuration is known yet; check the stores"};
  return {true, ""};
}

void SidecarPages::addMetrics(admin::MetricSet& metrics) const {
  const auto& table = core_.routes();
  const auto add = [&metrics](const char* name, const char* help, auto value) {
    metrics.gauge(std::string("cometstand_sidecar_") + name, help, static_cast<double>(value));
  };
  add("revision", "Revision of the configuration in force; 0 for none.", table ? table->revision() : 0);
  add("endpoints", "Endpoints that are known.", core_.endpoints().all().size());
  add("calls_in_flight", "Requests of callers without an answer yet.", core_.callsInFlight());
  add("target_running", "Requests at the target.", core_.gate().running());
  add("target_waiting", "Requests that wait for a slot of the target.", core_.gate().waiting());
}

}  // namespace cometstand::sidecar

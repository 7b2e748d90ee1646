#include "sidecar/sidecar_pages.h"

#include <cmath>

#include "admin/metric_set.h"

namespace cometstand::sidecar {

namespace {

void addCallMetrics(admin::MetricSet& set, const CallMetrics& calls) {
  for (std::size_t i = 0; i < kCallOutcomes; ++i) {
    set.histogram("cometstand_sidecar_call_seconds",
                  "Latency of callers' requests from arrival to response, by outcome.", calls.latency.at(i),
                  {{"outcome", std::string(nameOf(static_cast<CallOutcome>(i)))}});
  }
  set.counter("cometstand_sidecar_retries_total", "Retries of requests that may already have run.",
              static_cast<double>(calls.retries));
  set.counter("cometstand_sidecar_callers_gone_total", "Callers that disconnected before their response.",
              static_cast<double>(calls.callers_gone));
}

void addGateMetrics(admin::MetricSet& set, const GateMetrics& gate) {
  for (std::size_t i = 0; i < kRunOutcomes; ++i) {
    const auto outcome = static_cast<wire::ForwardOutcome>(i);
    set.histogram("cometstand_sidecar_run_seconds", "Run time of requests at the target, by outcome.",
                  gate.run_time.at(i), {{"outcome", wire::EnumNameForwardOutcome(outcome)}});
  }
  set.histogram("cometstand_sidecar_waiting_seconds",
                "Time that requests waited in the gate's queue before they ran.", gate.waiting_time);
  for (std::size_t i = 0; i < kRefusalReasons; ++i) {
    const auto reason = static_cast<wire::NotRunReason>(i);
    if (reason == wire::NotRunReason::None) continue;
    set.counter("cometstand_sidecar_refusals_total", "Requests refused by the gate, by reason.",
                static_cast<double>(gate.refusals.at(i)), {{"reason", wire::EnumNameNotRunReason(reason)}});
  }
}

void addRegionMetrics(admin::MetricSet& set, const RegionLinks& links) {
  for (const auto& [region, rate] : links.rates()) {
    set.gauge("cometstand_sidecar_region_link_rate",
              "Bytes per second that this sidecar allows requests to and from the region; 0 if unlimited.",
              std::isinf(rate) ? 0 : rate, {{"region", region}});
  }
  set.counter("cometstand_sidecar_region_held_back_total",
              "Endpoint selections that excluded another region because its link's share was used up.",
              static_cast<double>(links.throttledRequests()));
}

}  // namespace

admin::Health SidecarPages::readiness() const {
  if (core_.stopping()) return {false, "a planned stop is in progress"};
  if (core_.routes() == nullptr) return {false, "no configuration received yet; check the stores"};
  return {true, ""};
}

void SidecarPages::addMetrics(admin::MetricSet& metrics) const {
  const auto& table = core_.routes();
  const auto add = [&metrics](const char* name, const char* help, auto value) {
    metrics.gauge(std::string("cometstand_sidecar_") + name, help, static_cast<double>(value));
  };
  add("revision", "Revision of the active configuration; 0 if there is none.", table ? table->revision() : 0);
  add("endpoints", "Number of known endpoints.", core_.endpoints().all().size());
  add("calls_in_flight", "Requests of callers in flight.", core_.callsInFlight());
  add("target_running", "Requests running at the target.", core_.gate().running());
  add("target_waiting", "Requests waiting for a slot of the target.", core_.gate().waiting());
  metrics.gauge("cometstand_sidecar_contents_quarantined",
                "Request contents that are quarantined because they crashed targets.",
                static_cast<double>(core_.quarantine().quarantined()));
  metrics.gauge("cometstand_sidecar_contents_suspected",
                "Request contents that were at a terminating target more than once.",
                static_cast<double>(core_.quarantine().suspected()));
  metrics.gauge("cometstand_sidecar_zones_evacuated", "Evacuated zones, whose targets get no requests.",
                static_cast<double>(core_.evacuations().zones().size()));
  metrics.gauge("cometstand_sidecar_leave_notices_pending",
                "Announced shutdowns of targets that no store has committed yet.",
                static_cast<double>(core_.leaveNotices().pending()));
  metrics.gauge("cometstand_sidecar_leave_notices_recovered",
                "1 once the leave notices of earlier processes are known, without which the target gets no "
                "requests, else 0.",
                core_.leaveNotices().isRecovered() ? 1 : 0);
  add("bodies_arriving", "Large request bodies that are announced to, or being received by, this sidecar.",
      core_.intake().size());
  metrics.gauge("cometstand_sidecar_answers_arriving",
                "Large responses to this sidecar's requests that are being received.",
                static_cast<double>(core_.largeAnswersInFlight()));
  metrics.gauge(
      "cometstand_sidecar_answers_leaving",
      "Large responses of the target for which other sidecars have not granted the full credit yet.",
      static_cast<double>(core_.answers().size()));
  metrics.gauge("cometstand_sidecar_answer_bytes_held",
                "Bytes held for the bodies of large responses of the target.",
                static_cast<double>(core_.answers().heldBytes()));
  metrics.gauge("cometstand_sidecar_intake_wait_seconds",
                "Expected time until a large body that is announced now would start to arrive.",
                std::chrono::duration<double>(core_.intake().expectedWait()).count());
  metrics.gauge("cometstand_sidecar_target_cold_seconds",
                "Time until the target is considered warm, if the service limits its cold targets.",
                std::chrono::duration<double>(core_.targetColdTime()).count());
  metrics.gauge("cometstand_sidecar_target_limited",
                "1 if the target states a limit on its requests per second, else 0.",
                core_.gate().targetLimit().stated().rate() ? 1 : 0);
  metrics.gauge("cometstand_sidecar_target_limit",
                "Requests per second that the target accepts from all sidecars; 0 if it states no limit.",
                core_.gate().targetLimit().stated().rate().value_or(0));
  for (const auto& [kind, count] : core_.unreadableMessages()) {
    metrics.counter("cometstand_sidecar_unreadable_words_total",
                    "Heartbeats and deregistrations that could not be parsed, by error kind.",
                    static_cast<double>(count), {{"kind", std::string(errorKindName(kind))}});
  }
  addRegionMetrics(metrics, core_.endpoints().regionLinks());
  addCallMetrics(metrics, core_.callMetrics());
  addGateMetrics(metrics, core_.gate().metrics());
}

}  // namespace cometstand::sidecar

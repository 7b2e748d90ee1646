#include "sidecar/sidecar_pages.h"

#include <cmath>

#include "admin/metric_set.h"

namespace cometstand::sidecar {

namespace {

void addCallMetrics(admin::MetricSet& set, const CallMetrics& calls) {
  for (std::size_t i = 0; i < kCallOutcomes; ++i) {
    set.histogram("cometstand_sidecar_call_seconds", "Callers' requests by outcome, from arrival to answer.",
                  calls.latency.at(i), {{"outcome", std::string(nameOf(static_cast<CallOutcome>(i)))}});
  }
  set.counter("cometstand_sidecar_retries_total", "Sendings after one that may have run.",
              static_cast<double>(calls.retries));
  set.counter("cometstand_sidecar_callers_gone_total", "Callers that left before their answer.",
              static_cast<double>(calls.callers_gone));
}

void addGateMetrics(admin::MetricSet& set, const GateMetrics& gate) {
  for (std::size_t i = 0; i < kRunOutcomes; ++i) {
    const auto outcome = static_cast<wire::ForwardOutcome>(i);
    set.histogram("cometstand_sidecar_run_seconds", "Requests at the target by outcome, from start to end.",
                  gate.run_time.at(i), {{"outcome", wire::EnumNameForwardOutcome(outcome)}});
  }
  set.histogram("cometstand_sidecar_waiting_seconds", "Time in the gate's queue of requests that were run.",
                gate.waiting_time);
  for (std::size_t i = 0; i < kRefusalReasons; ++i) {
    const auto reason = static_cast<wire::NotRunReason>(i);
    if (reason == wire::NotRunReason::None) continue;
    set.counter("cometstand_sidecar_refusals_total", "Requests that the gate refused, by reason.",
                static_cast<double>(gate.refusals.at(i)), {{"reason", wire::EnumNameNotRunReason(reason)}});
  }
}

void addRegionMetrics(admin::MetricSet& set, const RegionLinks& links) {
  for (const auto& [region, rate] : links.rates()) {
    set.gauge("cometstand_sidecar_region_link_rate",
              "Bytes a second that this sidecar lets requests use to and from the region; 0 for no bound.",
              std::isinf(rate) ? 0 : rate, {{"region", region}});
  }
  set.counter("cometstand_sidecar_region_held_back_total",
              "Choices of an endpoint that left out another region since its link's share was used up.",
              static_cast<double>(links.heldBack()));
}

}  // namespace

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
  metrics.gauge("cometstand_sidecar_contents_quarantined",
                "Requests by content that are refused since they ended targets.",
                static_cast<double>(core_.quarantine().quarantined()));
  metrics.gauge("cometstand_sidecar_contents_suspected",
                "Requests by content that were at targets when they ended, more than once.",
                static_cast<double>(core_.quarantine().suspected()));
  metrics.gauge("cometstand_sidecar_zones_evacuated", "Zones whose targets get no requests.",
                static_cast<double>(core_.evacuations().zones().size()));
  add("bodies_arriving", "Large bodies that are announced or on their way to this sidecar.",
      core_.intake().size());
  metrics.gauge("cometstand_sidecar_answers_arriving",
                "Large answers to this sidecar's requests that have begun to come.",
                static_cast<double>(core_.answersArriving()));
  metrics.gauge("cometstand_sidecar_answers_leaving",
                "Large answers of the target that other sidecars have not granted whole yet.",
                static_cast<double>(core_.answers().size()));
  metrics.gauge("cometstand_sidecar_answer_bytes_held", "Bytes of the bodies of those answers.",
                static_cast<double>(core_.answers().heldBytes()));
  metrics.gauge("cometstand_sidecar_intake_wait_seconds",
                "Expected time until a large body that is announced now would begin to come.",
                std::chrono::duration<double>(core_.intake().expectedWait()).count());
  metrics.gauge("cometstand_sidecar_target_cold_seconds",
                "Time until the target counts as warm, if what cold ones get is bounded.",
                std::chrono::duration<double>(core_.targetColdTime()).count());
  for (const auto& [kind, count] : core_.unreadableWords()) {
    metrics.counter("cometstand_sidecar_unreadable_words_total",
                    "Heartbeats and deregistrations that could not be read, by the kind of the error.",
                    static_cast<double>(count), {{"kind", std::string(errorKindName(kind))}});
  }
  addRegionMetrics(metrics, core_.endpoints().regionLinks());
  addCallMetrics(metrics, core_.callMetrics());
  addGateMetrics(metrics, core_.gate().metrics());
}

}  // namespace cometstand::sidecar

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "base/latency_histogram.h"
#include "schema/mesh_generated.h"
#include "sidecar/caller_port.h"

namespace cometstand::sidecar {

inline constexpr std::size_t kCallOutcomes = 8;
inline constexpr std::size_t kRefusalReasons = 10;
inline constexpr std::size_t kRunOutcomes = 3;

/// Counts of callers' requests by outcome since the process started.
struct CallMetrics {
  /// Latency from arrival to response, indexed by CallOutcome.
  std::array<LatencyHistogram, kCallOutcomes> latency;
  std::uint64_t retries = 0;
  /// Callers that disconnected before their response.
  std::uint64_t callers_gone = 0;

  void noteEnd(CallOutcome outcome, Duration time) {
    latency.at(static_cast<std::size_t>(outcome)).note(time);
  }
};

/// Counts of requests at the gate by outcome since the process started.
struct GateMetrics {
  /// Number of refused requests, indexed by wire::NotRunReason.
  std::array<std::uint64_t, kRefusalReasons> refusals{};
  /// Time from the start of a run to its end, indexed by wire::ForwardOutcome.
  std::array<LatencyHistogram, kRunOutcomes> run_time;
  /// Queueing time of requests that were run.
  LatencyHistogram waiting_time;

  void recordRefusal(wire::NotRunReason reason) { ++refusals.at(static_cast<std::size_t>(reason)); }
  void recordRun(wire::ForwardOutcome outcome, Duration time) {
    run_time.at(static_cast<std::size_t>(outcome)).note(time);
  }
};

/// @return the name of the outcome in metrics and logs, for example "not_run".
std::string_view nameOf(CallOutcome outcome);

}  // namespace cometstand::sidecar

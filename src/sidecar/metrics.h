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
inline constexpr std::size_t kRefusalReasons = 9;
inline constexpr std::size_t kRunOutcomes = 3;

/// What became of callers' requests since the process started.
struct CallMetrics {
  /// By CallOutcome: from arrival to answer.
  std::array<LatencyHistogram, kCallOutcomes> latency;
  std::uint64_t retries = 0;
  /// Callers that left before their answer.
  std::uint64_t callers_gone = 0;

  void noteEnd(CallOutcome outcome, Duration time) {
    latency.at(static_cast<std::size_t>(outcome)).note(time);
  }
};

/// What became of requests at the gate since the process started.
struct GateMetrics {
  /// By wire::NotRunReason.
  std::array<std::uint64_t, kRefusalReasons> refusals{};
  /// By wire::ForwardOutcome: from the start of a run to its end.
  std::array<LatencyHistogram, kRunOutcomes> run_time;
  /// Time in the queue of requests that were run.
  LatencyHistogram waiting_time;

  void noteRefusal(wire::NotRunReason reason) { ++refusals.at(static_cast<std::size_t>(reason)); }
  void noteRun(wire::ForwardOutcome outcome, Duration time) {
    run_time.at(static_cast<std::size_t>(outcome)).note(time);
  }
};

/// @return the name in metrics and logs, for example "not_run".
std::string_view nameOf(CallOutcome outcome);

}  // namespace cometstand::sidecar

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "schema/control_generated.h"
#include "schema/objects_generated.h"

namespace cometstand::proxy {

/// Why a request was refused before any attempt.
enum class RefusalReason : std::uint8_t {
  QueueFull = 0,
  /// The expected wait passes the request's deadline.
  WaitTooLong = 1,
  /// The deadline passed in the queue, or before the request arrived.
  DeadlinePassed = 2,
  /// A request of a higher class took its place in a full queue.
  Displaced = 3,
  NoRoute = 4,
  NoEndpoint = 5,
  Stopping = 6,
  /// No view is in force yet.
  NotReady = 7,
};
inline constexpr std::size_t kRefusalReasons = 8;

/// @return the name in metrics and reports, for example "queue_full".
std::string_view refusalReasonName(RefusalReason reason);

inline constexpr std::size_t kOutcomes = 3;
inline constexpr std::size_t kRequestClasses = 4;

/// Counters of the data path since the process started.
struct DataPathMetrics {
  /// Answered requests by wire::Outcome and wire::RequestClass; a stream counts as completed once whole, as
  /// unknown if it was cut.
  std::array<std::array<std::uint64_t, kRequestClasses>, kOutcomes> requests{};
  /// By RefusalReason.
  std::array<std::uint64_t, kRefusalReasons> refusals{};
  /// Attempts sent to back ends, retries included.
  std::uint64_t attempts = 0;
  std::uint64_t retries = 0;
  std::uint64_t callers_gone = 0;
  std::uint64_t claims_asked = 0;
  std::uint64_t ejections = 0;
  /// Requests that arrived and are neither answered nor given up.
  std::uint64_t in_flight = 0;
  std::uint64_t queued = 0;

  void countOutcome(wire::Outcome outcome, wire::RequestClass request_class) {
    ++requests.at(static_cast<std::size_t>(outcome)).at(static_cast<std::size_t>(request_class));
  }
  void countRefusal(RefusalReason reason) { ++refusals.at(static_cast<std::size_t>(reason)); }
};

}  // namespace cometstand::proxy

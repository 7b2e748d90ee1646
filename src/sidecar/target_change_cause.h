#pragma once

#include <cstdint>

namespace cometstand::sidecar {

/// What led to a change of the state or the published record of the target beside a sidecar.
enum class TargetChangeCause : std::uint8_t {
  Heartbeat,
  Deregistration,
  HealthCheck,
  /// A response to a request, or its failure.
  Response,
  /// The first configuration took effect.
  Configuration,
  /// The target became cold or warm.
  ColdState,
  /// The leave notices of earlier processes were recovered.
  Recovery,
  /// A planned stop of the sidecar began.
  Stop,
};

/// @return the name of the cause for logs.
constexpr const char* targetChangeCauseName(TargetChangeCause cause) {
  switch (cause) {
    case TargetChangeCause::Heartbeat:
      return "heartbeat";
    case TargetChangeCause::Deregistration:
      return "deregistration";
    case TargetChangeCause::HealthCheck:
      return "health_check";
    case TargetChangeCause::Response:
      return "response";
    case TargetChangeCause::Configuration:
      return "configuration";
    case TargetChangeCause::ColdState:
      return "cold_state";
    case TargetChangeCause::Recovery:
      return "recovery";
    case TargetChangeCause::Stop:
      break;
  }
  return "stop";
}

}  // namespace cometstand::sidecar

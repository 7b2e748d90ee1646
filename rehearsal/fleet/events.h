#pragma once

#include <array>

#include "base/event_log.h"

namespace cometstand::rehearsal {

inline constexpr EventDefinition kFleetProcessStarted{
    7201, LogLevel::Info, "fleet_process_started",
    "The fleet runner started a process. No action is needed."};
inline constexpr EventDefinition kFleetProcessEnded{
    7202, LogLevel::Info, "fleet_process_ended",
    "A process of the fleet ended, by itself or by a signal of the runner. No action is needed."};
inline constexpr EventDefinition kFleetSignal{
    7203, LogLevel::Info, "fleet_signal",
    "The fleet runner sent a signal to one of its processes. No action is needed."};

inline constexpr std::array kFleetEvents{kFleetProcessStarted, kFleetProcessEnded, kFleetSignal};

}  // namespace cometstand::rehearsal

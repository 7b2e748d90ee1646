#pragma once

#include <array>

#include "base/event_log.h"

namespace cometstand::rehearsal {

inline constexpr EventDefinition kScaleFailed{
    7301, LogLevel::Error, "scale_run_failed",
    "A scale run cannot go on. Follow the remedy in the message, then start it again."};
inline constexpr EventDefinition kScalePhase{7302, LogLevel::Info, "scale_phase",
                                             "A scale run began this phase. No action is needed."};

inline constexpr std::array kScaleEvents{kScaleFailed, kScalePhase};

}  // namespace cometstand::rehearsal

#pragma once

#include <array>

#include "base/event_log.h"

namespace cometstand::web {

inline constexpr EventDefinition kRequestTooLarge{
    8001, LogLevel::Warning, "request_too_large",
    "A request within the configured limits could not be held and was refused: a header field has 64 KiB or "
    "more, "
    "or the announced body exceeds the memory. Lower the limits for callers."};

inline constexpr std::array kWebEvents{kRequestTooLarge};

}  // namespace cometstand::web

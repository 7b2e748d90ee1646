#pragma once

#include <array>

#include "base/event_log.h"

namespace cometstand::overload {

inline constexpr EventDefinition kMemoryBudgetFull{
    8010, LogLevel::Warning, "memory_budget_full",
    "Clients hold as much memory as the process has for them: requests are refused, and slow clients are "
    "disconnected. Find the clients that send or read slowly, or raise overload.memory_mb if the machine has "
    "more memory."};

inline constexpr std::array kOverloadEvents{kMemoryBudgetFull};

}  // namespace cometstand::overload

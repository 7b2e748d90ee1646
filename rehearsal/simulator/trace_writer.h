#pragma once

#include <string>

#include "rehearsal/simulator/run.h"

namespace cometstand::simulator {

/// @return the seed's faults as a trace for cometstand-replay: JSON lines, see docs/REHEARSAL.md. The stated
/// outcome is that all checks hold.
std::string traceOf(const RunOptions& options, const RunReport& report);

}  // namespace cometstand::simulator

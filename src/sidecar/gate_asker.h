#pragma once

#include <compare>
#include <cstdint>

#include "runtime/process_core.h"

namespace cometstand::sidecar {

/// Who waits for the answer to a request at the gate: a link to another sidecar, or this sidecar itself.
struct GateAsker {
  /// The default stands for this sidecar's own callers.
  runtime::LinkId link{};
  std::uint64_t request_id = 0;
  friend auto operator<=>(const GateAsker&, const GateAsker&) = default;  // NOLINT(modernize-use-nullptr)
};

}  // namespace cometstand::sidecar

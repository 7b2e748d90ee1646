#pragma once

#include <stdexcept>
#include <string>

namespace cometstand::consensus {

/// @throw std::logic_error naming the invariant if it does not hold. A process that gets it must end: its
/// state can no longer be trusted.
inline void checkInvariant(bool holds, const char* invariant) {
  if (!holds) throw std::logic_error(std::string("consensus invariant broken: ") + invariant);
}

}  // namespace cometstand::consensus

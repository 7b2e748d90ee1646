#pragma once

#include <stdexcept>
#include <string>

namespace cometstand::consensus {

/// @throw std::logic_error with the text of the invariant if it does not hold. The process must then
/// terminate, because its state is no longer consistent.
inline void checkInvariant(bool holds, const char* invariant) {
  if (!holds) throw std::logic_error(std::string("consensus invariant violated: ") + invariant);
}

}  // namespace cometstand::consensus

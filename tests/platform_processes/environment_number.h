#pragma once

#include <cstdint>
#include <cstdlib>

namespace cometstand::platform {

/// @return the number in the environment variable, by which a test runs longer by hand, or else the default.
inline std::uint64_t numberFromEnvironment(const char* variable, std::uint64_t otherwise) {
  const char* text = std::getenv(variable);
  return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

}  // namespace cometstand::platform

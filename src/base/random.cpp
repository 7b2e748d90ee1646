#include "base/random.h"

#include <random>

namespace cometstand {

std::uint64_t systemSeed() {
  std::random_device device;
  constexpr unsigned kWordBits = 32;
  return (static_cast<std::uint64_t>(device()) << kWordBits) | device();
}

}  // namespace cometstand

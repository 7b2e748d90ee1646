#include "base/time.h"

#include <ctime>

namespace cometstand {

SteadyClock::time_point SteadyClock::now() noexcept {
  timespec value{};
  clock_gettime(CLOCK_BOOTTIME, &value);
  const auto since_boot = std::chrono::seconds(value.tv_sec) + std::chrono::nanoseconds(value.tv_nsec);
  return time_point(std::chrono::duration_cast<Duration>(since_boot));
}

}  // namespace cometstand

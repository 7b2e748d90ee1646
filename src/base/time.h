#pragma once

#include <chrono>
#include <cstdint>

namespace cometstand {

/// Length of time, in microseconds.
using Duration = std::chrono::microseconds;

/// A clock that never steps and that runs on while the process or the machine is suspended
/// (CLOCK_BOOTTIME), so that time spent frozen counts against leases and time limits.
struct SteadyClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<SteadyClock, duration>;
  static constexpr bool is_steady = true;

  /// @return the current time of this machine. Decision logic never calls this: it is handed the time.
  static time_point now() noexcept;
};

/// A moment on SteadyClock. Comparable only within one machine and one boot.
using TimePoint = SteadyClock::time_point;

/// @return the whole milliseconds of a duration, rounded up.
constexpr std::int64_t ceilMilliseconds(Duration duration) {
  return std::chrono::ceil<std::chrono::milliseconds>(duration).count();
}

}  // namespace cometstand

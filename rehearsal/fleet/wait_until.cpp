#include "rehearsal/fleet/wait_until.h"

#include <fmt/format.h>

#include <thread>

#include "base/error.h"

namespace cometstand::rehearsal {

namespace {

constexpr Duration kPollInterval = std::chrono::milliseconds(20);

}  // namespace

void waitUntil(const std::string& what, const std::function<bool()>& condition, Duration limit) {
  const TimePoint end = SteadyClock::now() + limit;
  while (!condition()) {
    if (SteadyClock::now() >= end) {
      throw Error(ErrorKind::Timeout,
                  fmt::format("{} ms passed, and this does not hold: {}", ceilMilliseconds(limit), what),
                  "look into the processes' logs in the fleet's folder");
    }
    pauseFor(kPollInterval);
  }
}

void pauseFor(Duration duration) { std::this_thread::sleep_for(duration); }

}  // namespace cometstand::rehearsal

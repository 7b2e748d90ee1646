#pragma once

#include <ctime>

namespace cometstand::rehearsal {

/// Processor time of the calling thread, in microseconds.
inline double processorMicroseconds() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

}  // namespace cometstand::rehearsal

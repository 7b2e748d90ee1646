#include "admin/process_usage.h"

#include <sys/resource.h>
#include <unistd.h>

#include <fstream>

namespace cometstand::admin {
namespace {

double seconds(const timeval& time) {
  constexpr double kMicrosecondsPerSecond = 1e6;
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / kMicrosecondsPerSecond;
}

/// @return 0 if the system does not tell.
double residentBytes() {
  std::ifstream statistics("/proc/self/statm");
  double total_pages = 0;
  double resident_pages = 0;
  if (!(statistics >> total_pages >> resident_pages)) return 0;
  return resident_pages * static_cast<double>(sysconf(_SC_PAGESIZE));
}

}  // namespace

void addProcessUsage(MetricSet& metrics) {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  metrics.counter("process_cpu_seconds_total", "Processor time of this process, user and system.",
                  seconds(usage.ru_utime) + seconds(usage.ru_stime));
  metrics.gauge("process_resident_memory_bytes", "Resident memory of this process.", residentBytes());
}

}  // namespace cometstand::admin

#include "shutdown_checker.h"

#include <fmt/format.h>

namespace cometstand::limits::test {

void ShutdownChecker::onArrival(StartNumber target, TimePoint now) {
  const auto acknowledged = acknowledged_at_.find(target);
  if (acknowledged == acknowledged_at_.end() || now <= acknowledged->second + kDrainTime) return;
  violations_.push_back(fmt::format("a request reached start {} {} ms after its shutdown was acknowledged",
                                    target, ceilMilliseconds(now - acknowledged->second)));
}

}  // namespace cometstand::limits::test

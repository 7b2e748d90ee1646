#pragma once

#include <functional>
#include <map>

#include "base/time.h"

namespace cometstand::platform {

/// Actions that are due at a time, run by the thread that calls runDue(). An action may add others, so that
/// several series of faults take turns on one thread.
class Schedule {
 public:
  using Action = std::function<void()>;

  void after(Duration delay, Action action) {
    actions_.emplace(SteadyClock::now() + delay, std::move(action));
  }

  void runDue() {
    while (!actions_.empty() && actions_.begin()->first <= SteadyClock::now()) {
      const auto action = std::move(actions_.extract(actions_.begin()).mapped());
      action();
    }
  }

  bool empty() const { return actions_.empty(); }

 private:
  std::multimap<TimePoint, Action> actions_;
};

}  // namespace cometstand::platform

#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

#include "base/time.h"

namespace cometstand::simulator {

/// Simulated time, and what is to happen at which moment. Events of one moment run in the order in which they
/// were added, so that a run depends on nothing but its seed.
class EventQueue {
 public:
  using Event = std::function<void()>;

  TimePoint now() const { return now_; }

  /// @param when a moment in the past counts as now.
  void at(TimePoint when, Event event) {
    heap_.push_back({std::max(when, now_), next_number_++, std::move(event)});
    std::push_heap(heap_.begin(), heap_.end(), isLater);
  }

  void after(Duration delay, Event event) { at(now_ + delay, std::move(event)); }

  /// Runs all events up to the given moment, which is then the present.
  void runUntil(TimePoint end) {
    while (!heap_.empty() && heap_.front().when <= end) {
      std::pop_heap(heap_.begin(), heap_.end(), isLater);
      Entry entry = std::move(heap_.back());
      heap_.pop_back();
      now_ = entry.when;
      ++events_run_;
      entry.event();
    }
    now_ = std::max(now_, end);
  }

  std::uint64_t eventsRun() const { return events_run_; }

 private:
  struct Entry {
    TimePoint when;
    std::uint64_t number;
    Event event;
  };
  static bool isLater(const Entry& left, const Entry& right) {
    return std::pair(left.when, left.number) > std::pair(right.when, right.number);
  }

  /// Simulated time does not begin at zero, so that a core may look back from its first moment.
  TimePoint now_{std::chrono::hours(1)};
  std::vector<Entry> heap_;
  std::uint64_t next_number_ = 0;
  std::uint64_t events_run_ = 0;
};

}  // namespace cometstand::simulator

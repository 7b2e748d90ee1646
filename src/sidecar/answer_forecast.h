#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <map>
#include <string>

#include "base/time.h"
#include "sidecar/smoothed_value.h"

namespace cometstand::sidecar {

/// Learns how large the answers of each route are and when they begin to come, so that their bytes and their
/// time can be weighed before a request is sent.
class AnswerForecast {
 public:
  /// @param bytes size of one answer's body.
  void noteSize(const std::string& route, std::size_t bytes) {
    routes_[route].bytes.note(static_cast<double>(bytes));
  }
  /// @param time from a sending to the first of its answer.
  void noteBeginning(const std::string& route, Duration time) {
    routes_[route].seconds.note(std::chrono::duration<double>(time).count());
  }

  /// @param time from a sending to the last of its answer.
  void noteWhole(const std::string& route, Duration time) {
    routes_[route].whole_seconds.note(std::chrono::duration<double>(time).count());
  }

  /// @return the smoothed size of the route's answers; 0 before the first.
  std::size_t answerBytes(const std::string& route) const {
    const auto known = routes_.find(route);
    return known == routes_.end() ? 0 : static_cast<std::size_t>(known->second.bytes.mean());
  }

  /// @param bytes_per_second at which answers come.
  /// @return a time in which nearly every answer of the route is whole; zero before the first.
  Duration timeUntilWhole(const std::string& route, double bytes_per_second) const {
    const auto known = routes_.find(route);
    if (known == routes_.end()) return Duration::zero();
    const double reckoned = known->second.seconds.high() + known->second.bytes.high() / bytes_per_second;
    // Behind a full link of the sender the answer shares that link with others, of which this side knows
    // nothing.
    const double seconds = std::max(reckoned, known->second.whole_seconds.high());
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
  }

 private:
  struct Route {
    SmoothedValue bytes;
    SmoothedValue seconds;
    SmoothedValue whole_seconds;
  };

  std::map<std::string, Route> routes_;
};

}  // namespace cometstand::sidecar

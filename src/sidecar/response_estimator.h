#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <map>
#include <string>

#include "base/time.h"
#include "sidecar/smoothed_value.h"

namespace cometstand::sidecar {

/// Estimates the size and the latency of the responses of each route from past responses, so that both can be
/// considered before a request is sent.
class ResponseEstimator {
 public:
  /// @param bytes size of the body of one response.
  void recordSize(const std::string& route, std::size_t bytes) {
    routes_[route].bytes.add(static_cast<double>(bytes));
  }
  /// @param time from the start of an attempt to the first byte of its response.
  void recordTimeToFirstByte(const std::string& route, Duration time) {
    routes_[route].first_byte_seconds.add(std::chrono::duration<double>(time).count());
  }

  /// @param time from the start of an attempt to the last byte of its response.
  void recordTimeToCompletion(const std::string& route, Duration time) {
    routes_[route].completion_seconds.add(std::chrono::duration<double>(time).count());
  }

  /// @return the smoothed size of the route's responses; 0 before the first one.
  std::size_t answerBytes(const std::string& route) const {
    const auto found = routes_.find(route);
    return found == routes_.end() ? 0 : static_cast<std::size_t>(found->second.bytes.mean());
  }

  /// @param bytes_per_second rate at which responses are received.
  /// @return a time in which nearly every response of the route is complete; zero before the first one.
  Duration timeToCompletion(const std::string& route, double bytes_per_second) const {
    const auto found = routes_.find(route);
    if (found == routes_.end()) return Duration::zero();
    const double computed_seconds =
        found->second.first_byte_seconds.upperBound() + found->second.bytes.upperBound() / bytes_per_second;
    // A full link of the sender is shared with responses to other requesters, which bytes_per_second does not
    // cover. The observed completion times do.
    const double seconds = std::max(computed_seconds, found->second.completion_seconds.upperBound());
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
  }

 private:
  struct Route {
    SmoothedValue bytes;
    SmoothedValue first_byte_seconds;
    SmoothedValue completion_seconds;
  };

  std::map<std::string, Route> routes_;
};

}  // namespace cometstand::sidecar

#pragma once

#include <algorithm>
#include <map>
#include <string>

#include "base/time.h"

namespace cometstand::sidecar {

/// Which requests come from callers who were refused before and have come back: they bring less time than is
/// usual on their route. Most callers come back once or not at all, so such a request is lost if it is
/// refused again, while a fresh one gets a second chance.
class ReturningCallers {
 public:
  /// @param time that the caller will wait, as it says.
  /// @return true if the caller has probably come back.
  bool note(const std::string& route, Duration time) {
    const auto given = static_cast<double>(time.count());
    double& longest = longest_[route];
    longest = std::max(given, longest * kKept);
    return given < kUsualShare * longest;
  }

 private:
  /// A caller that waits as told loses 80 ms of some seconds at least, a fresh one a few milliseconds.
  static constexpr double kUsualShare = 0.97;
  /// For each request, so that a route whose callers bring less time from now on is known after some hundred.
  static constexpr double kKept = 0.9995;

  /// By route, in microseconds.
  std::map<std::string, double> longest_;
};

}  // namespace cometstand::sidecar

#pragma once

#include <map>
#include <string>
#include <vector>

#include "statement_checker.h"

namespace cometstand::limits::test {

/// Judges, from what targets see, whether a target gets requests after the shutdown that it announced to its
/// sidecar was acknowledged. It shares no code with the sidecar.
class ShutdownChecker {
 public:
  /// Time from the acknowledgement within which requests may still arrive.
  static constexpr Duration kDrainTime = std::chrono::seconds(2);

  void onAcknowledged(StartNumber target, TimePoint now) { acknowledged_at_.emplace(target, now); }
  bool isAcknowledged(StartNumber target) const { return acknowledged_at_.contains(target); }
  std::size_t acknowledged() const { return acknowledged_at_.size(); }
  /// A request reached the target.
  void onArrival(StartNumber target, TimePoint now);

  /// @return the violations, in words.
  const std::vector<std::string>& violations() const { return violations_; }

 private:
  std::map<StartNumber, TimePoint> acknowledged_at_;
  std::vector<std::string> violations_;
};

}  // namespace cometstand::limits::test

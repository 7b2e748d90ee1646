#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/time.h"

namespace cometstand::checkers {

/// When faults struck which process: a request that met one may be cut or late.
class Disturbances {
 public:
  void begin(const std::string& process, TimePoint when) {
    spans_[process].push_back({when, TimePoint::max()});
  }

  /// Ends the latest one of the process that has not ended.
  void end(const std::string& process, TimePoint when) {
    auto& spans = spans_[process];
    for (auto span = spans.rbegin(); span != spans.rend(); ++span) {
      if (span->end != TimePoint::max()) continue;
      span->end = when;
      return;
    }
  }

  /// @return true if a fault struck the process at any time from `from` to `to`.
  bool touch(const std::string& process, TimePoint from, TimePoint to) const {
    const auto found = spans_.find(process);
    if (found == spans_.end()) return false;
    for (const auto& span : found->second) {
      if (span.begin <= to && from <= span.end) return true;
    }
    return false;
  }

 private:
  struct Span {
    TimePoint begin;
    TimePoint end;
  };
  std::map<std::string, std::vector<Span>> spans_;
};

}  // namespace cometstand::checkers

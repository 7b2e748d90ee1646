#pragma once

#include <deque>
#include <optional>

#include "base/time.h"

namespace cometstand::rehearsal {

/// The load that a back end reports: the true load, late by a lag, or a lie. A plain state machine.
class LoadReport {
 public:
  /// Reports the load as it was this long ago.
  void setLag(Duration lag) { lag_ = lag; }

  /// Reports this value instead of the load; nothing ends the lie.
  void setLie(std::optional<double> lie) { lie_ = lie; }

  /// Notes the true load from now on.
  void record(TimePoint now, double load);

  /// @return the load to report now; 0 before anything was recorded.
  double reported(TimePoint now);

 private:
  struct Sample {
    TimePoint at;
    double load;
  };

  Duration lag_ = Duration::zero();
  std::optional<double> lie_;
  std::deque<Sample> samples_;
};

}  // namespace cometstand::rehearsal

#pragma once

#include <boost/json/object.hpp>
#include <cstdint>

#include "rehearsal/bench/bench_mesh.h"

namespace cometstand::rehearsal {

/// What callers saw in one run, and what the proxy and the targets counted.
struct RunOutcome {
  CallerReport callers;
  proxy::DataPathMetrics proxy;
  TargetTotals targets;
  /// Time of the arrivals.
  Duration duration = Duration::zero();

  /// @return requests a second that completed within their deadline.
  double goodput() const;
  /// @return the part of all requests that completed within their deadline.
  double goodputShare() const;
  /// Requests that may not be repeated whose work began more than once.
  std::uint64_t ranTwice() const;
  /// Requests that ran although their callers heard "not run".
  std::uint64_t ranThoughNotRun() const;
  std::uint64_t violations() const;
  /// @return the target's part of all work relative to an equal part.
  double shareOf(std::size_t target) const;
};

/// @return the members of a report that all scenarios have. Latencies are in microseconds from the intended
/// start.
boost::json::object reportOf(const RunOutcome& outcome);

}  // namespace cometstand::rehearsal

#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "mesh/incarnation.h"
#include "sidecar/target_port.h"

namespace cometstand::sidecar {

/// Reports that a target terminated while it had requests.
struct TargetEnd {
  mesh::Incarnation incarnation;
  /// Requests that were, or may have been, at the target: any of them may be the cause.
  std::vector<ForwardRequestPointer> requests;
};

/// Distinguishes a target that terminated from one that only broke a connection. A run without a response is
/// no proof of termination: overloaded targets reset connections, and faulty ones cut responses short. The
/// watch therefore probes the target's address. If the connection is refused, or another incarnation appears
/// within 10 s of the broken connection, the target has terminated.
///
/// Invariant: no incarnation is reported twice.
class TargetWatch {
 public:
  /// A request that is running at the target.
  struct Run {
    ForwardRequestPointer request;
    TimePoint started;
  };
  /// @return the requests that are running at the target.
  using ListRuns = std::function<std::vector<Run>()>;

  TargetWatch(TargetPort& port, ListRuns running) : port_(port), list_running_(std::move(running)) {}

  /// A run of the incarnation ended without a response.
  void onBroken(const ForwardRequestPointer& request, const mesh::Incarnation& incarnation, TimePoint now);
  /// A run was cancelled. The target may still be processing it.
  void onCancelled(const ForwardRequestPointer& request, TimePoint now);
  /// The incarnation answered a run that started at the given time.
  void onAnswered(const mesh::Incarnation& incarnation, TimePoint started);
  /// @return the end of the target if the probe outcome confirms it.
  std::optional<TargetEnd> onProbed(ProbeOutcome outcome, TimePoint now);
  /// Reports the current incarnation of the target. @return the end of the previous incarnation if this
  /// confirms it.
  std::optional<TargetEnd> onIncarnation(const mesh::Incarnation& incarnation, TimePoint now);

 private:
  struct CancelledRun {
    ForwardRequestPointer request;
    TimePoint cancelled_at;
  };
  /// An incarnation that broke a connection and may have terminated.
  struct Suspicion {
    mesh::Incarnation incarnation;
    TimePoint since;
    std::vector<ForwardRequestPointer> broken;
  };

  TargetEnd confirmEnd();

  TargetPort& port_;
  ListRuns list_running_;
  std::optional<Suspicion> suspicion_;
  std::deque<CancelledRun> cancelled_runs_;
  mesh::Incarnation last_ended_;
};

}  // namespace cometstand::sidecar

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

/// A target that ended while it had requests.
struct TargetEnd {
  mesh::Incarnation incarnation;
  /// The requests that it had, or may have had: any of them may be the cause.
  std::vector<ForwardRequestPointer> requests;
};

/// Tells a target that ended from one that broke a connection. A run without an answer alone is no end: full
/// targets reset connections, faulty ones break answers off. So the watch asks whether the target's address
/// still accepts a connection; if it is refused, or another incarnation is heard there soon, the target has
/// ended.
///
/// Invariant: no incarnation is reported twice.
class TargetWatch {
 public:
  /// A request at the target.
  struct Run {
    ForwardRequestPointer request;
    TimePoint started;
  };
  /// @return the requests that are at the target now.
  using RunningRuns = std::function<std::vector<Run>()>;

  TargetWatch(TargetPort& port, RunningRuns running) : port_(port), running_(std::move(running)) {}

  /// A run of the incarnation ended without an answer.
  void onBroken(const ForwardRequestPointer& request, const mesh::Incarnation& incarnation, TimePoint now);
  /// A run was given up. The target may work on it all the same.
  void onGivenUp(const ForwardRequestPointer& request, TimePoint now);
  /// The incarnation answered a run that began at that time.
  void onAnswered(const mesh::Incarnation& incarnation, TimePoint started);
  /// @return the end of the target, if it is certain now.
  std::optional<TargetEnd> onProbed(ProbeOutcome outcome, TimePoint now);
  /// The target beside this sidecar is this incarnation. @return the end of the one before, if it is certain
  /// now.
  std::optional<TargetEnd> onIncarnation(const mesh::Incarnation& incarnation, TimePoint now);

 private:
  struct Past {
    ForwardRequestPointer request;
    TimePoint ended;
  };
  /// An incarnation that broke a connection.
  struct Suspicion {
    mesh::Incarnation incarnation;
    TimePoint since;
    std::vector<ForwardRequestPointer> broken;
  };

  TargetEnd conclude();

  TargetPort& port_;
  RunningRuns running_;
  std::optional<Suspicion> suspicion_;
  std::deque<Past> given_up_;
  mesh::Incarnation ended_;
};

}  // namespace cometstand::sidecar

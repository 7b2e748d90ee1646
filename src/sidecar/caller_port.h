#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "base/time.h"
#include "schema/mesh_generated.h"

namespace cometstand::sidecar {

/// Names one request of a caller. Chosen by whoever hands it in, never used twice.
enum class CallId : std::uint64_t {};

/// A caller's request.
struct Call {
  /// Method, target, fields, body and request id are the caller's; the rest is filled in by the sidecar.
  wire::ForwardRequestT request;
  std::string host;
  /// How long the caller will wait, if it said so.
  std::optional<Duration> deadline;
};

enum class CallOutcome : std::uint8_t {
  /// The target's own answer.
  Answered,
  /// No route leads there.
  NoRoute,
  /// Not run and never will be: no configuration is known yet, or nobody can take the request now.
  NotRun,
  /// It may have run, and no whole answer came.
  Failed,
  /// The time is up; it may have run.
  TimedOut,
  /// Not run and never will be: requests like it have ended several targets. Coming back does not help.
  Quarantined,
};

struct CallAnswer {
  CallOutcome outcome = CallOutcome::Failed;
  /// Of Answered.
  wire::ForwardReplyT reply;
  /// Of NotRun: when to come back.
  Duration retry_after = Duration::zero();
};

/// Hears what became of callers' requests: exactly one answer for each that was not cancelled.
class CallerPort {
 public:
  virtual ~CallerPort() = default;
  virtual void answer(CallId id, CallAnswer answer) = 0;
};

}  // namespace cometstand::sidecar

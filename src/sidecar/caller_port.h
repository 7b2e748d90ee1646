#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "mesh/content_digest.h"
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
  /// Of the key that the caller sent, if it sent one.
  std::optional<mesh::ContentDigest> key;
  /// A large answer may be handed over in parts, before it is whole.
  bool takes_parts = false;
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
  /// Not run and never will be: the route needs a key, and no tenant holds the caller's.
  UnknownKey,
  /// Not run and never will be: the tenant has used up its limit, or what this sidecar has of it.
  OverQuota,
};

struct CallAnswer {
  CallOutcome outcome = CallOutcome::Failed;
  /// Of Answered.
  wire::ForwardReplyT reply;
  /// Of NotRun and OverQuota: when to come back.
  Duration retry_after = Duration::zero();
};

/// Hears what became of callers' requests: exactly one answer for each that was not cancelled, by answer(),
/// or by beginAnswer() and continueAnswer() up to an end.
class CallerPort {
 public:
  virtual ~CallerPort() = default;
  virtual void answer(CallId id, CallAnswer answer) = 0;

  // Of calls that take parts only. SidecarCore::onCallerRead() is to be told of bytes that the caller took.
  /// @param head the target's answer with the first bytes of its body.
  virtual void beginAnswer(CallId /*id*/, const wire::ForwardReplyT& /*head*/) {}
  /// @param end Broken: the answer must not look whole to the caller.
  virtual void continueAnswer(CallId /*id*/, const std::vector<std::uint8_t>& /*bytes*/,
                              wire::BodyEnd /*end*/) {}
};

}  // namespace cometstand::sidecar

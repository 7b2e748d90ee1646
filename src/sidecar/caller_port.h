#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "mesh/content_digest.h"
#include "schema/mesh_generated.h"

namespace cometstand::sidecar {

/// Identifies one request of a caller. Assigned by the component that submits the request, and never reused.
enum class CallId : std::uint64_t {};

/// A caller's request.
struct Call {
  /// Method, target, header fields, body and request id come from the caller; the sidecar sets the rest.
  wire::ForwardRequestT request;
  std::string host;
  /// How long the caller will wait, if it has set a deadline.
  std::optional<Duration> deadline;
  /// Digest of the API key that the caller sent, if any.
  std::optional<mesh::ContentDigest> key;
  /// A large answer may be streamed to the caller before it is complete.
  bool accepts_streaming = false;
};

enum class CallOutcome : std::uint8_t {
  /// The target has answered.
  Answered,
  /// No route matches the request.
  NoRoute,
  /// Not run and never will be: there is no configuration yet, or no endpoint accepts the request now.
  NotRun,
  /// May have run, but no complete answer was received.
  Failed,
  /// May have run; the deadline passed before its answer.
  TimedOut,
  /// Not run and never will be: requests like it have crashed several targets. A retry does not help.
  Quarantined,
  /// Not run and never will be: the route requires an API key, and the caller's belongs to no tenant.
  UnknownKey,
  /// Not run and never will be: the tenant has used up its limit, or this sidecar got no token of it.
  OverQuota,
};

struct CallAnswer {
  CallOutcome outcome = CallOutcome::Failed;
  /// Set if the outcome is Answered.
  wire::ForwardReplyT reply;
  /// Set if the outcome is NotRun or OverQuota: the delay before a retry.
  Duration retry_after = Duration::zero();
};

/// Receives the answers to callers' requests: exactly one for each request that was not cancelled, either by
/// answer(), or by beginAnswer() and calls of continueAnswer() until one has an `end` other than Open.
class CallerPort {
 public:
  virtual ~CallerPort() = default;
  virtual void answer(CallId id, CallAnswer answer) = 0;

  // The functions below are called only for calls with `accepts_streaming`. The receiver must report the
  // bytes that the caller has read to SidecarCore::onCallerRead().
  /// @param head the target's answer with the first bytes of its body.
  virtual void beginAnswer(CallId /*id*/, const wire::ForwardReplyT& /*head*/) {}
  /// @param end Broken if the answer was aborted; it must not look complete to the caller.
  virtual void continueAnswer(CallId /*id*/, const std::vector<std::uint8_t>& /*bytes*/,
                              wire::BodyEnd /*end*/) {}
};

}  // namespace cometstand::sidecar

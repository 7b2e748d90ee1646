#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "base/time.h"
#include "schema/mesh_generated.h"

namespace cometstand::sidecar {

/// Identifies one request sent to the target beside this sidecar. Ids increase and are never reused.
enum class RunId : std::uint64_t {};

using ForwardRequestPointer = std::shared_ptr<const wire::ForwardRequestT>;

/// A request to run at the target.
struct RunRequest {
  RunId id{};
  ForwardRequestPointer request;
  /// Id that the target must have; a target with another id must not run the request.
  std::string instance;
  /// Time after which the target must stop processing the request.
  Duration time_left{};
};

/// What a target states about itself in a response.
struct TargetStatement {
  /// Requests per second that the target accepts from all senders together; unset if it names no limit.
  std::optional<double> rate_limit;
  /// The response names a limit that cannot be parsed; the limit in force stays as it is.
  bool has_malformed_limit = false;
  /// The target is shutting down.
  bool is_leaving = false;
};

/// Result of a request at the target.
struct RunResult {
  wire::ForwardReplyT reply;
  /// Set for a complete response of the target that was expected.
  std::optional<TargetStatement> statement{};
  /// The target refused the request because it has another id.
  bool instance_mismatch = false;
  /// Why what the target sent was not accepted as its response, for the log; empty if it was.
  std::string fault{};
};

/// Body bytes of the response to a health check, at most: it carries all in its head.
inline constexpr std::uint64_t kMaxHealthCheckBytes = 64 * 1024;
/// Time after which a health check is given up; longer than one waits for a slot of the target.
inline constexpr Duration kHealthCheckTimeout = std::chrono::seconds(10);

/// Result of a health check of the target.
struct TargetHealth {
  /// The target is healthy and not leaving.
  bool ready = false;
  /// Id of the target; a health response does not contain the incarnation.
  std::string instance;
  unsigned slots = 1;
  /// Remaining cold time, if the target reported it.
  std::optional<Duration> cold_remaining{};
  /// Set for a complete response.
  std::optional<TargetStatement> statement{};
};

/// Outcome of a connection attempt that checks whether the target is alive.
enum class ProbeOutcome : std::uint8_t {
  /// A process accepts connections at the target's address.
  Accepted,
  /// No process listens at the target's address.
  Refused,
  /// The attempt failed without showing whether a process listens.
  Unknown,
};

/// Sends requests to the target. Results are delivered through SidecarCore::onRunResult(), never from within
/// run().
class TargetPort {
 public:
  virtual ~TargetPort() = default;
  virtual void run(RunRequest order) = 0;
  /// Sends one health check to the target. The result is delivered through SidecarCore::onHealth().
  virtual void requestHealth(const std::string& path) = 0;
  /// Opens a connection to the target and closes it. The outcome is delivered through
  /// SidecarCore::onProbed().
  virtual void probe() = 0;
  /// Cancels the request by closing its connection to the target. No result follows.
  virtual void cancel(RunId id) = 0;
};

}  // namespace cometstand::sidecar

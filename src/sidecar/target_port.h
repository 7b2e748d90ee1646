#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "schema/mesh_generated.h"

namespace cometstand::sidecar {

/// Names one request on its way to the target beside this sidecar. Rising, never used twice.
enum class RunId : std::uint64_t {};

using ForwardRequestPointer = std::shared_ptr<const wire::ForwardRequestT>;

/// One request for the target.
struct RunOrder {
  RunId id{};
  ForwardRequestPointer request;
  /// The target must have this id, else it must not run the request.
  std::string instance;
  /// The target is to stop work then.
  Duration time_left{};
};

/// What came of a request at the target.
struct RunResult {
  wire::ForwardReplyT reply;
  /// The target said that it has another id.
  bool other_instance = false;
};

/// What a target said when it was asked for its health.
struct TargetHealth {
  /// It is well and not leaving.
  bool ready = false;
  /// Its id; a health answer does not tell the incarnation.
  std::string instance;
  unsigned slots = 1;
  /// Time from now on during which it is cold, if it said so.
  std::optional<Duration> cold_remaining{};
};

/// What came of a connection that was opened to see whether the target lives.
enum class ProbeOutcome : std::uint8_t {
  /// Somebody listens at the target's address.
  Accepted,
  /// Nobody listens there.
  Refused,
  /// Nothing is known.
  Unknown,
};

/// Carries requests to the target. Its answers come through SidecarCore::onRunResult(), never from within
/// run().
class TargetPort {
 public:
  virtual ~TargetPort() = default;
  virtual void run(RunOrder order) = 0;
  /// Asks the target for its health, once. The answer comes through SidecarCore::onHealth().
  virtual void askHealth(const std::string& path) = 0;
  /// Opens a connection to the target and closes it. The outcome comes through SidecarCore::onProbed().
  virtual void probe() = 0;
  /// Gives the request up: the target sees its connection close. No result follows.
  virtual void cancel(RunId id) = 0;
};

}  // namespace cometstand::sidecar

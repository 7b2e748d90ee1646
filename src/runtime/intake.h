#pragma once

namespace cometstand::runtime {

/// What lets callers without a link in. A planned stop ends it before the process ends, so that no caller
/// sends a request that nobody reads: the end of a process resets its connections without a word.
class Intake {
 public:
  virtual ~Intake() = default;

  /// Callers that have sent nothing are told that their connections end. Others may still come, and are told
  /// so with their answers.
  virtual void closeIdle() = 0;
  /// Nobody can connect any more. Who has connected before is still answered.
  virtual void end() = 0;
};

}  // namespace cometstand::runtime

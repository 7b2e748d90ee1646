#pragma once

#include <sys/types.h>

#include <boost/process/child.hpp>
#include <filesystem>
#include <string>
#include <vector>

#include "base/time.h"

namespace cometstand::rehearsal {

/// What to start, and where its output goes.
struct ProgramStart {
  /// Name in logs and errors.
  std::string name;
  std::filesystem::path program;
  std::vector<std::string> arguments;
  /// Standard error is appended to it, and standard output too unless it has its own file.
  std::filesystem::path log_file;
  std::filesystem::path output_file;
};

/// How a process ended.
struct ProcessEnd {
  /// The exit code, if no signal ended it.
  int exit_code = 0;
  /// The signal that ended it, or 0.
  int signal = 0;

  bool clean() const { return exit_code == 0 && signal == 0; }
};

/// One process that this program started. It is killed when the object goes, and by the kernel when the
/// starting thread ends, however that comes about. Every signal goes to this one process, by its id.
class ChildProcess {
 public:
  /// @throw Error(InputOutput) if the program cannot be started.
  explicit ChildProcess(const ProgramStart& start);
  ~ChildProcess();

  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  pid_t id() const { return child_.id(); }
  bool running();

  /// Sends SIGTERM, SIGSTOP, SIGCONT and the like; does nothing once the process ended.
  void sendSignal(int signal);

  /// Waits for the process to end by itself or by a signal sent before.
  /// @throw Error(Timeout) if it still runs after the limit.
  ProcessEnd waitForEnd(Duration limit);

  /// Kills the process (SIGKILL) and waits for its end. Does nothing once it ended.
  void kill();

 private:
  std::string name_;
  boost::process::child child_;
};

}  // namespace cometstand::rehearsal

#pragma once

#include <boost/json/object.hpp>
#include <boost/process/child.hpp>
#include <boost/process/pipe.hpp>
#include <string>
#include <vector>

namespace cometstand::rehearsal {

/// The programs of a scale run, by what they do.
enum class ProcessRole : std::uint8_t { Store, Relay, Proxy, Hollow };

const char* roleName(ProcessRole role);

/// What one process has used since it began.
struct ProcessUsage {
  double cpu_seconds = 0;
  /// Bytes resident now, and at most.
  std::uint64_t resident_bytes = 0;
  std::uint64_t peak_resident_bytes = 0;
  /// Calls of write() on files and pipes; messages are not among them.
  std::uint64_t write_calls = 0;
  /// Bytes that the process caused to be written to disk.
  std::uint64_t disk_bytes = 0;
};

/// One process that the run started. It is killed by the kernel should the run die.
class ChildProcess {
 public:
  /// @param log takes the process's standard error.
  /// @throw Error(InputOutput) if the program cannot be started.
  ChildProcess(ProcessRole role, const std::string& program, const std::vector<std::string>& arguments,
               const std::string& log);
  /// Ends the process at once if it still runs.
  ~ChildProcess();

  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  ProcessRole role() const { return role_; }

  /// Writes one line to the process without waiting for its answer; readAnswer() gives it.
  void tell(const std::string& line);
  /// @return the next line of the process's standard output.
  /// @throw Error(InputOutput) if the process ended instead.
  boost::json::object readAnswer();

  /// @throw Error(InputOutput) if the process ended.
  ProcessUsage usage() const;

  bool running() { return child_.running(); }
  /// Asks for a planned stop.
  void interrupt() const;

 private:
  ProcessRole role_;
  std::string program_;
  std::string log_;
  boost::process::opstream input_;
  boost::process::ipstream output_;
  boost::process::child child_;
};

}  // namespace cometstand::rehearsal

#include "rehearsal/scale/child_process.h"

#include <fmt/format.h>
#include <sys/prctl.h>
#include <unistd.h>

#include <boost/json/parse.hpp>
#include <boost/process/args.hpp>
#include <boost/process/extend.hpp>
#include <boost/process/io.hpp>
#include <csignal>
#include <fstream>
#include <sstream>

#include "base/error.h"

namespace cometstand::rehearsal {

namespace process = boost::process;

namespace {

/// Fields of /proc/PID/stat after the program's name, counted from 0: see proc(5), utime and stime.
constexpr int kUserTimeField = 11;
constexpr std::uint64_t kBytesPerKilobyte = 1024;

process::child launch(const std::string& program, const std::vector<std::string>& arguments,
                      const std::string& log, process::opstream& input, process::ipstream& output) {
  try {
    return process::child(
        program, process::args(arguments), process::std_in<input, process::std_out> output,
        process::std_err > log, process::extend::on_exec_setup = [](auto&) {
          // Within the new process: it is not to outlive the run.
          ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        });
  } catch (const process::process_error& error) {
    throw Error(ErrorKind::InputOutput, fmt::format("cannot start {}: {}", program, error.what()),
                "build the programs; they stand beside this one");
  }
}

std::ifstream openProcFile(int pid, const char* name) {
  std::ifstream file(fmt::format("/proc/{}/{}", pid, name));
  if (!file) {
    throw Error(ErrorKind::InputOutput, fmt::format("process {} has ended", pid),
                "see its log in the run's folder");
  }
  return file;
}

double cpuSeconds(int pid) {
  auto file = openProcFile(pid, "stat");
  std::string line;
  std::getline(file, line);
  std::istringstream fields(line.substr(line.rfind(')') + 2));
  std::string skipped;
  for (int i = 0; i < kUserTimeField; ++i) fields >> skipped;
  double user = 0;
  double system = 0;
  fields >> user >> system;
  return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

/// @return the number that follows the label in a /proc file of "label: number" lines; 0 without it.
std::uint64_t labelled(std::ifstream file, const std::string& label) {
  std::string line;
  while (std::getline(file, line)) {
    if (line.rfind(label + ":", 0) == 0) return std::stoull(line.substr(label.size() + 1));
  }
  return 0;
}

}  // namespace

const char* roleName(ProcessRole role) {
  switch (role) {
    case ProcessRole::Store:
      return "store";
    case ProcessRole::Relay:
      return "relay";
    case ProcessRole::Proxy:
      return "proxy";
    case ProcessRole::Hollow:
      return "hollow";
  }
  return "";
}

ChildProcess::ChildProcess(ProcessRole role, const std::string& program,
                           const std::vector<std::string>& arguments, const std::string& log)
    : role_(role), program_(program), log_(log), child_(launch(program, arguments, log, input_, output_)) {}

ChildProcess::~ChildProcess() {
  std::error_code ignored;
  if (child_.running(ignored)) child_.terminate(ignored);
  child_.wait(ignored);
}

void ChildProcess::tell(const std::string& line) {
  input_ << line << '\n';
  input_.flush();
}

boost::json::object ChildProcess::readAnswer() {
  std::string line;
  if (!std::getline(output_, line)) {
    throw Error(ErrorKind::InputOutput, fmt::format("{} ended early", program_), "see its log " + log_);
  }
  return boost::json::parse(line).as_object();
}

ProcessUsage ChildProcess::usage() const {
  const int pid = child_.id();
  ProcessUsage usage;
  usage.cpu_seconds = cpuSeconds(pid);
  usage.resident_bytes = labelled(openProcFile(pid, "status"), "VmRSS") * kBytesPerKilobyte;
  usage.peak_resident_bytes = labelled(openProcFile(pid, "status"), "VmHWM") * kBytesPerKilobyte;
  usage.write_calls = labelled(openProcFile(pid, "io"), "syscw");
  usage.disk_bytes = labelled(openProcFile(pid, "io"), "write_bytes");
  return usage;
}

void ChildProcess::interrupt() const { ::kill(child_.id(), SIGTERM); }

}  // namespace cometstand::rehearsal

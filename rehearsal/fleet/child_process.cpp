#include "rehearsal/fleet/child_process.h"

#include <fmt/format.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <boost/process/args.hpp>
#include <boost/process/extend.hpp>
#include <boost/process/io.hpp>
#include <csignal>
#include <cstdio>
#include <memory>

#include "base/error.h"
#include "rehearsal/fleet/events.h"
#include "rehearsal/fleet/wait_until.h"

namespace cometstand::rehearsal {

namespace process = boost::process;

namespace {

/// How long a killed process may take to go.
constexpr Duration kKillLimit = std::chrono::seconds(30);

struct FileCloser {
  void operator()(std::FILE* file) const { std::fclose(file); }
};
using OpenFile = std::unique_ptr<std::FILE, FileCloser>;

OpenFile openForAppend(const std::filesystem::path& path) {
  OpenFile file(std::fopen(path.c_str(), "ae"));
  if (file) return file;
  throw Error(ErrorKind::InputOutput, fmt::format("cannot write '{}'", path.string()),
              "choose a folder that can be written to");
}

/// The kernel kills the child when the thread that started it ends, so that nothing is left behind.
void dieWithParent() { ::prctl(PR_SET_PDEATHSIG, SIGKILL); }

process::child startChild(const ProgramStart& start) {
  const OpenFile log = openForAppend(start.log_file);
  const OpenFile output = openForAppend(start.output_file.empty() ? start.log_file : start.output_file);
  try {
    return process::child(start.program.string(), process::args(start.arguments),
                          (process::std_in < process::null), (process::std_out > output.get()),
                          (process::std_err > log.get()),
                          process::extend::on_exec_setup([](auto&) { dieWithParent(); }));
  } catch (const process::process_error& error) {
    throw Error(ErrorKind::InputOutput,
                fmt::format("cannot start {} ({}): {}", start.name, start.program.string(), error.what()),
                "build all programs first: scripts/build");
  }
}

}  // namespace

ChildProcess::ChildProcess(const ProgramStart& start) : name_(start.name), child_(startChild(start)) {
  logEvent(kFleetProcessStarted, {{"name", name_}, {"pid", child_.id()}});
}

ChildProcess::~ChildProcess() {
  try {
    kill();
  } catch (const std::exception& error) {
    logEvent(kFleetProcessEnded, {{"name", name_}, {"reason", error.what()}});
  }
}

bool ChildProcess::running() {
  std::error_code ignored;
  return child_.running(ignored);
}

void ChildProcess::sendSignal(int signal) {
  if (!running()) return;
  logEvent(kFleetSignal, {{"name", name_}, {"signal", signal}});
  ::kill(child_.id(), signal);
}

ProcessEnd ChildProcess::waitForEnd(Duration limit) {
  waitUntil(
      fmt::format("{} has ended", name_), [this] { return !running(); }, limit);
  const int status = child_.native_exit_code();
  ProcessEnd end;
  if (WIFSIGNALED(status)) {
    end.signal = WTERMSIG(status);
  } else {
    end.exit_code = WEXITSTATUS(status);
  }
  logEvent(kFleetProcessEnded, {{"name", name_}, {"exit_code", end.exit_code}, {"signal", end.signal}});
  return end;
}

void ChildProcess::kill() {
  if (!running()) return;
  sendSignal(SIGKILL);
  waitForEnd(kKillLimit);
}

}  // namespace cometstand::rehearsal

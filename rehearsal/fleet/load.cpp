#include "rehearsal/fleet/load.h"

#include <fmt/format.h>

#include <boost/json.hpp>
#include <csignal>

#include "base/error.h"
#include "rehearsal/fleet/member.h"
#include "rehearsal/fleet/wait_until.h"

namespace cometstand::rehearsal {

namespace {

/// A load is finished by a signal; this only bounds one whose runner is gone.
constexpr const char* kLongestLoadMs = "600000";

std::vector<std::string> callerArguments(const LoadOptions& options, const std::string& workload_file,
                                         const std::string& report_file) {
  std::vector<std::string> arguments{
      "--name",         options.name,   "--rate",   fmt::format("{}", options.rate),
      "--duration-ms",  kLongestLoadMs, "--seed",   fmt::format("{}", options.seed),
      "--workload",     workload_file,  "--report", report_file,
      "--list-requests"};
  for (const auto& proxy : options.proxies) {
    arguments.emplace_back("--server");
    arguments.push_back(fmt::format("{}:{}", proxy.address().to_string(), proxy.port()));
  }
  return arguments;
}

}  // namespace

Load::Load(const LoadOptions& options)
    : options_(options), report_file_(options.folder / (options.name + ".report.json")) {
  const auto workload_file = options.folder / (options.name + ".workload.json");
  writeTextFile(workload_file, boost::json::serialize(toJson(options.workload)));
  const auto arguments = callerArguments(options, workload_file.string(), report_file_.string());
  process_ = std::make_unique<ChildProcess>(ProgramStart{
      options.name, options.caller_program, arguments, options.folder / (options.name + ".log"), {}});
}

std::vector<CallRecord> Load::finish() {
  process_->sendSignal(SIGTERM);
  const ProcessEnd end = process_->waitForEnd(kConditionLimit);
  if (!end.clean()) {
    throw Error(ErrorKind::InputOutput, fmt::format("the caller {} ended without a report", options_.name),
                "look into its log in the fleet's folder");
  }
  return CallerReport::recordsFromJson(boost::json::parse(readTextFile(report_file_)));
}

}  // namespace cometstand::rehearsal

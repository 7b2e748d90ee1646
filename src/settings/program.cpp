#include "settings/program.h"

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <csignal>
#include <cstdio>
#include <exception>
#include <optional>

#include "base/error.h"

namespace cometstand::settings {
namespace {

void printError(const ProgramInfo& info, const std::exception& error) {
  fmt::print(stderr, "{}: {}\n", info.name, error.what());
}

int runBody(const ProgramInfo& info, const std::function<int()>& body) {
  try {
    return body();
  } catch (const std::exception& error) {
    printError(info, error);
    return kExitFailure;
  }
}

int run(int argc, const char* const* argv, const ProgramInfo& info, SettingsTable& table,
        const std::function<int(SettingsSource&)>& body) {
  // The end of the process that reads this one's log must not end this one.
  std::signal(SIGPIPE, SIG_IGN);
  std::optional<SettingsSource> source;
  try {
    const auto arguments = parseProgramArguments(argc, argv, info);
    if (arguments.describe_settings) {
      fmt::print("{}", describeAsMarkdown(table));
      return kExitSuccess;
    }
    source.emplace(arguments.settings_file, arguments.overrides);
    source->load(table);
    if (arguments.check_settings) return kExitSuccess;
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus();
  } catch (const std::exception& error) {
    printError(info, error);
    return kExitUsage;
  }
  return runBody(info, [&] { return body(*source); });
}

}  // namespace

std::string programVersion() { return COMETSTAND_VERSION; }

ProgramArguments parseProgramArguments(int argc, const char* const* argv, const ProgramInfo& info) {
  TCLAP::CmdLine command_line(std::string(info.description), ' ', programVersion());
  command_line.setExceptionHandling(false);
  TCLAP::ValueArg<std::string> settings("", "settings", "Settings file (TOML); see docs/SETTINGS.md", false,
                                        "", "FILE", command_line);
  TCLAP::MultiArg<std::string> set("", "set", "Sets one key, over the file; may be repeated", false,
                                   "key=value", command_line);
  TCLAP::SwitchArg check("", "check-settings", "Checks the settings and exits", command_line);
  TCLAP::SwitchArg describe("", "describe-settings", "Prints every key as a Markdown table and exits",
                            command_line);
  try {
    command_line.parse(argc, argv);
  } catch (const TCLAP::ArgException& error) {
    throw Error(ErrorKind::Invalid, fmt::format("{} {}", error.argId(), error.error()), "see --help");
  }
  return {settings.getValue(), check.getValue(), describe.getValue(), set.getValue()};
}

int runProgram(int argc, const char* const* argv, const ProgramInfo& info, SettingsTable& table,
               const std::function<int()>& body) {
  return run(argc, argv, info, table, [&body](SettingsSource&) { return body(); });
}

int runProgram(int argc, const char* const* argv, const ProgramInfo& info, SettingsTable& table,
               const std::function<int(SettingsSource&)>& body) {
  // Until the body handles it, the signal must not end the process; the settings are read after this anyway.
  std::signal(SIGHUP, SIG_IGN);
  return run(argc, argv, info, table, body);
}

}  // namespace cometstand::settings

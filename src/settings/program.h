#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "settings/settings_source.h"

namespace cometstand::settings {

/// Exit codes of store, relay and proxy.
inline constexpr int kExitSuccess = 0;
inline constexpr int kExitFailure = 1;
/// Wrong flags or settings.
inline constexpr int kExitUsage = 2;

/// What `--help` and `--version` say.
struct ProgramInfo {
  std::string_view name;
  std::string_view description;
};

/// The command line that all programs share.
struct ProgramArguments {
  /// Path of the settings file; empty for none.
  std::string settings_file;
  bool check_settings = false;
  bool describe_settings = false;
  /// Each "key=value".
  std::vector<std::string> overrides;
};

/// @return the version of the build, such as "0.1.0".
std::string programVersion();

/// Reads --settings, --set, --check-settings and --describe-settings. Answers --help and --version itself,
/// and then returns nothing to do by throwing TCLAP::ExitException.
/// @throw Error(Invalid) on a wrong flag.
ProgramArguments parseProgramArguments(int argc, const char* const* argv, const ProgramInfo& info);

/// The whole of a program's main(): reads the command line and the settings, then calls the body. Errors go
/// to standard error with their remedy.
/// @param body runs the program once the table's variables are set; its result is the exit code.
/// @return the exit code: that of the body, 0 after --help, --version and a passed --check-settings, 2 for
/// wrong
///   flags or settings, 1 for an Error thrown by the body.
int runProgram(int argc, const char* const* argv, const ProgramInfo& info, SettingsTable& table,
               const std::function<int()>& body);

/// The same for a program that reads its settings again while it runs.
/// @param body is handed where the settings came from.
int runProgram(int argc, const char* const* argv, const ProgramInfo& info, SettingsTable& table,
               const std::function<int(SettingsSource&)>& body);

}  // namespace cometstand::settings

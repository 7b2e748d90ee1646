#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "settings/common_settings.h"

namespace cometstand::command {

/// Environment variable from which cometctl takes the token if no file is named.
inline constexpr const char* kTokenVariable = "COMETCTL_TOKEN";

/// All settings of cometctl.
struct ClientSettings {
  std::vector<runtime::Address> stores;
  std::string tenant;
  std::string operator_name;
  /// Empty: the environment variable is read.
  std::string token_file;
  Duration time_limit = std::chrono::seconds(20);
  Duration attempt_limit = std::chrono::seconds(8);
  std::string output = "text";
  settings::TlsSettings tls;
};

/// Declares every setting of cometctl.
void declareClientSettings(settings::SettingsTable& table, ClientSettings& client);

/// What the command line of cometctl says.
struct ClientArguments {
  std::string settings_file;
  /// Flags as "key=value" settings, in the order in which they count.
  std::vector<std::string> overrides;
  /// Empty: a new one is made.
  std::string request_id;
  bool check_settings = false;
  bool describe_settings = false;
  /// The words of the command, joined by spaces; nothing if it comes from standard input.
  std::optional<std::string> command;
};

/// @throw Error(Invalid) on a wrong flag; TCLAP::ExitException after --help and --version.
ClientArguments parseClientArguments(int argc, const char* const* argv);

/// @return the token of the file or, without one, of the environment variable; without the line's end.
/// @throw Error(InputOutput) if the file cannot be read; Error(Unauthenticated) if neither names a token.
std::string readToken(const ClientSettings& client);

}  // namespace cometstand::command

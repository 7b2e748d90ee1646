#include "operator/client_settings.h"

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <tclap/CmdLine.h>

#include <cstdlib>
#include <fstream>

#include "base/error.h"
#include "settings/program.h"

namespace cometstand::command {

using std::chrono::hours;
using std::chrono::milliseconds;

namespace {

constexpr const char* kDescription =
    "Sends one command to the configuration store: the words after the flags, or standard input. "
    "`cometctl hash-token` prints hash and salt of a token. Exit codes: 0 completed, 2 wrong usage, 3 not "
    "run, 4 unknown, 5 no replica reached, 1 any other failure.";

/// @return the text as a TOML string.
std::string quote(const std::string& text) {
  std::string quoted = "\"";
  for (const char one : text) {
    if (one == '"' || one == '\\') quoted += '\\';
    quoted += one;
  }
  return quoted + "\"";
}

/// The flags of cometctl. Each but --request-id stands for a setting.
struct Flags {
  TCLAP::CmdLine line{kDescription, ' ', settings::programVersion()};
  TCLAP::ValueArg<std::string> settings_file{
      "", "settings", "Settings file (TOML); see docs/SETTINGS.md", false, "", "FILE", line};
  TCLAP::MultiArg<std::string> set{"",    "set",       "Sets one key, over the file; may be repeated",
                                   false, "key=value", line};
  TCLAP::MultiArg<std::string> store{"",    "store",   "A replica of the store; may be repeated",
                                     false, "IP:PORT", line};
  TCLAP::ValueArg<std::string> tenant{"", "tenant", "Tenant of the operator", false, "", "NAME", line};
  TCLAP::ValueArg<std::string> name{"",     "operator", "Name of the operator's credential", false, "",
                                    "NAME", line};
  TCLAP::ValueArg<std::string> token_file{
      "",    "token-file", fmt::format("File with the operator's token; else ${}", kTokenVariable),
      false, "",           "FILE",
      line};
  TCLAP::ValueArg<std::string> timeout{
      "", "timeout", "Whole time for the command, such as 20s", false, "", "DURATION", line};
  TCLAP::ValueArg<std::string> output{"", "output", "text or json", false, "", "FORMAT", line};
  TCLAP::ValueArg<std::string> certificate{
      "", "tls-certificate", "The operator's certificate (PEM)", false, "", "FILE", line};
  TCLAP::ValueArg<std::string> key{"", "tls-key", "Its private key (PEM)", false, "", "FILE", line};
  TCLAP::ValueArg<std::string> authority{
      "", "tls-authority", "Authorities that sign the store's certificates (PEM)", false, "", "FILE", line};
  TCLAP::SwitchArg plain{"", "plain", "Plain TCP, without TLS: only for tests on one machine", line};
  TCLAP::ValueArg<std::string> request_id{
      "", "request-id", "Identifier of an earlier command that is sent again", false, "", "ID", line};
  TCLAP::SwitchArg check{"", "check-settings", "Checks the settings and exits", line};
  TCLAP::SwitchArg describe{"", "describe-settings", "Prints every key as a Markdown table and exits", line};
  TCLAP::UnlabeledMultiArg<std::string> words{"command", "The command; standard input if none", false,
                                              "COMMAND", line};
};

std::vector<std::string> overridesOf(Flags& flags) {
  std::vector<std::string> overrides = flags.set.getValue();
  const auto add = [&](const char* key, TCLAP::ValueArg<std::string>& flag) {
    if (flag.isSet()) overrides.push_back(fmt::format("{}={}", key, quote(flag.getValue())));
  };
  if (flags.store.isSet()) {
    std::vector<std::string> stores;
    for (const auto& store : flags.store.getValue()) stores.push_back(quote(store));
    overrides.push_back(fmt::format("stores=[{}]", fmt::join(stores, ", ")));
  }
  add("tenant", flags.tenant);
  add("operator", flags.name);
  add("token_file", flags.token_file);
  add("time_limit", flags.timeout);
  add("output", flags.output);
  add("tls.certificate", flags.certificate);
  add("tls.key", flags.key);
  add("tls.authority", flags.authority);
  if (flags.plain.getValue()) overrides.emplace_back("tls.enabled=false");
  return overrides;
}

/// The library takes an unknown flag for a word of the command.
void refuseUnknownFlags(const std::vector<std::string>& words) {
  for (const auto& word : words) {
    if (word.rfind("--", 0) != 0) continue;
    throw Error(ErrorKind::Invalid, fmt::format("{} is not a flag", word.substr(0, word.find('='))),
                "see --help");
  }
}

}  // namespace

void declareClientSettings(settings::SettingsTable& table, ClientSettings& client) {
  table.addresses("stores", client.stores, "Replicas of the store, tried in turn; flag --store.");
  table.text("tenant", client.tenant, "Tenant of the operator; flag --tenant.");
  table.text("operator", client.operator_name, "Name of the operator's credential; flag --operator.");
  table.text("token_file", client.token_file,
             "File with the operator's token, readable by the operator alone; flag --token-file. Without it "
             "the environment variable COMETCTL_TOKEN is read.");
  table.duration("time_limit", client.time_limit, {milliseconds(100), hours(24)},
                 "Whole time for one command, resends included; flag --timeout. A wait's own time limit is "
                 "added.");
  table.duration("attempt_limit", client.attempt_limit, {milliseconds(100), hours(24)},
                 "Time for one replica's answer; then the next replica is asked, under the same request "
                 "identifier. A wait's own time limit is added.");
  table.choice("output", client.output, {"text", "json"}, "Form of the answer; flag --output.");
  settings::declareTlsSettings(table, client.tls);
}

ClientArguments parseClientArguments(int argc, const char* const* argv) {
  Flags flags;
  flags.line.setExceptionHandling(false);
  try {
    flags.line.parse(argc, argv);
  } catch (const TCLAP::ArgException& error) {
    throw Error(ErrorKind::Invalid, fmt::format("{} {}", error.argId(), error.error()), "see --help");
  }
  refuseUnknownFlags(flags.words.getValue());
  ClientArguments arguments;
  arguments.settings_file = flags.settings_file.getValue();
  arguments.overrides = overridesOf(flags);
  arguments.request_id = flags.request_id.getValue();
  arguments.check_settings = flags.check.getValue();
  arguments.describe_settings = flags.describe.getValue();
  if (flags.words.isSet()) arguments.command = fmt::format("{}", fmt::join(flags.words.getValue(), " "));
  return arguments;
}

std::string readToken(const ClientSettings& client) {
  std::string token;
  if (client.token_file.empty()) {
    const char* const value = std::getenv(kTokenVariable);
    if (value != nullptr) token = value;
  } else {
    std::ifstream stream(client.token_file);
    if (!std::getline(stream, token)) {
      throw Error(ErrorKind::InputOutput, fmt::format("cannot read a token from {}", client.token_file),
                  "write the token into the file, on one line, readable by you alone");
    }
  }
  if (!token.empty() && token.back() == '\r') token.pop_back();
  if (token.empty()) {
    throw Error(ErrorKind::Unauthenticated, "no token is given",
                fmt::format("name a file with --token-file, or set {}", kTokenVariable));
  }
  return token;
}

}  // namespace cometstand::command

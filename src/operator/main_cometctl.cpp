// cometctl: the operators' command line.
#include <fmt/format.h>
#include <openssl/rand.h>
#include <tclap/ArgException.h>

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdio>
#include <iostream>
#include <iterator>

#include "base/error.h"
#include "base/event_log.h"
#include "base/random.h"
#include "config/token.h"
#include "net/tls_context.h"
#include "operator/binary_text.h"
#include "operator/client_settings.h"
#include "operator/command_output.h"
#include "runtime/process_runner.h"
#include "settings/program.h"
#include "settings/settings_file.h"
#include "store/request_id.h"

namespace {

using namespace cometstand;
using namespace cometstand::command;

constexpr const char* kProgram = "cometctl";
constexpr std::string_view kHashToken = "hash-token";
constexpr std::size_t kSaltBytes = 16;

std::string readCommand(const ClientArguments& arguments) {
  if (arguments.command) return *arguments.command;
  return {std::istreambuf_iterator<char>(std::cin), std::istreambuf_iterator<char>()};
}

/// Prints hash and salt of the token in the form that `put credential` and `put node` take.
int printTokenHash(const ClientSettings& client) {
  Bytes salt(kSaltBytes);
  if (RAND_bytes(salt.data(), static_cast<int>(salt.size())) != 1) {
    throw Error(ErrorKind::InputOutput, "the system gave no random bytes", "try again");
  }
  const auto hash = config::hashToken(salt, readToken(client));
  fmt::print("token_hash {} salt {}\n", encodeHex(hash), encodeHex(salt));
  return kExitCompleted;
}

std::string newRequestId() {
  const auto since_1970 = std::chrono::system_clock::now().time_since_epoch();
  const auto time = std::chrono::duration_cast<std::chrono::milliseconds>(since_1970).count();
  return store::makeRequestId(static_cast<std::uint64_t>(time), systemSeed());
}

ClientOptions makeOptions(const ClientSettings& client, const std::string& text, const Command& command,
                          const std::string& request_id) {
  ClientOptions options;
  options.stores = client.stores;
  options.request.request_id = request_id;
  options.request.tenant = client.tenant;
  options.request.operator_name = client.operator_name;
  options.request.token = readToken(client);
  options.request.text = text;
  options.is_query = isQuery(command);
  const auto* wait = std::get_if<WaitInForce>(&command);
  const Duration wait_limit = wait != nullptr ? wait->timeout : Duration::zero();
  options.time_limit = client.time_limit + wait_limit;
  options.attempt_limit = client.attempt_limit + wait_limit;
  options.seed = systemSeed();
  return options;
}

ClientResult sendCommand(const ClientSettings& client, ClientOptions options) {
  std::unique_ptr<boost::asio::ssl::context> tls;
  if (client.tls.enabled) {
    tls = net::makeTlsContext({client.tls.certificate, client.tls.key, client.tls.authority});
  }
  boost::asio::io_context io(1);
  CommandClient core(std::move(options));
  runtime::ProcessRunner runner(io, core, {{}, "", tls.get()});
  runner.start();
  io.run();
  return core.result().value();
}

int runCommand(const ClientSettings& client, const ClientArguments& arguments) {
  const std::string text = readCommand(arguments);
  Command command;
  try {
    command = parseCommand(text);
  } catch (const ParseError& error) {
    fmt::print(stderr, "{}: {}\n{}", kProgram, error.what(), formatParseError(text, error));
    return kExitUsage;
  }
  const std::string request_id = arguments.request_id.empty() ? newRequestId() : arguments.request_id;
  const auto result = sendCommand(client, makeOptions(client, text, command, request_id));
  if (client.output == "json") {
    fmt::print("{}", formatJson(result, request_id));
  } else {
    fmt::print("{}", formatTable(result.reply));
    fmt::print(stderr, "{}", formatProblem(result, request_id));
  }
  return exitCode(result);
}

int runClient(int argc, char** argv) {
  ClientSettings client;
  settings::SettingsTable table;
  declareClientSettings(table, client);
  ClientArguments arguments;
  try {
    arguments = parseClientArguments(argc, argv);
    if (arguments.describe_settings) {
      fmt::print("{}", settings::describeAsMarkdown(table));
      return kExitCompleted;
    }
    // hash-token reaches no store, so it needs no certificates.
    const bool is_hash = arguments.command == kHashToken;
    if (is_hash) arguments.overrides.emplace_back("tls.enabled=false");
    const auto& path = arguments.settings_file;
    table.load(path.empty() ? settings::SettingGroup() : settings::readSettingsFile(path),
               arguments.overrides);
    if (arguments.check_settings) return kExitCompleted;
    if (is_hash) return printTokenHash(client);
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus();
  } catch (const Error& error) {
    fmt::print(stderr, "{}: {}\n", kProgram, error.what());
    return kExitUsage;
  }
  return runCommand(client, arguments);
}

}  // namespace

int main(int argc, char** argv) {
  setLogLevel(LogLevel::Error);
  try {
    return runClient(argc, argv);
  } catch (const Error& error) {
    fmt::print(stderr, "{}: {}\n", kProgram, error.what());
    const bool is_usage = error.kind() == ErrorKind::Invalid || error.kind() == ErrorKind::Unauthenticated;
    return is_usage ? kExitUsage : kExitFailed;
  } catch (const std::exception& error) {
    fmt::print(stderr, "{}: {}\n", kProgram, error.what());
    return kExitFailed;
  }
}

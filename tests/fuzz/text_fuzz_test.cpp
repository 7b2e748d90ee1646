#include <catch2/catch.hpp>
#include <fstream>

#include "base/error.h"
#include "operator/command.h"
#include "settings/settings_file.h"
#include "store/store_settings.h"
#include "tests/fuzz/mutator.h"

namespace cometstand::fuzz {
namespace {

/// The lines of the code blocks of docs/LANGUAGE.md.
std::vector<std::string> documentedCommands() {
  std::ifstream stream(SOURCE_FOLDER "/docs/LANGUAGE.md");
  std::vector<std::string> commands;
  std::string line;
  bool in_code = false;
  while (std::getline(stream, line)) {
    if (line.rfind("```", 0) == 0) {
      in_code = !in_code;
    } else if (in_code && !line.empty()) {
      // A step of a change is put into a change of its own.
      commands.push_back(line.front() == ' ' ? "change {" + line + "}" : line);
    }
  }
  return commands;
}

const std::string kStoreSettings = R"(zone = "krk-a"
[listen]
address = "127.0.0.1:7001"
[data]
folder = "data"
[tls]
enabled = false
[store]
id = 1
name = "store-1"
beat_interval = "1s"
reader_join_rate = 20.5
[[store.replicas]]
id = 1
name = "store-1"
address = "127.0.0.1:7001"
[[store.replicas]]
id = 2
name = "store-2"
address = "[::1]:7002"
)";

TEST_CASE("damaged commands are read or refused with a column", "[fuzz]") {
  const auto commands = documentedCommands();
  REQUIRE(commands.size() > 20);
  Mutator mutator(
      21, {"change", " { ", "}", ";", "put ", "show ", "\"", "\\", "99999999999999999999", "/", "1s"});
  int read = 0;
  int refused = 0;
  for (int i = 0; i < kCases; ++i) {
    const auto text = mutator.mutate(mutator.pick(commands));
    INFO(text);
    try {
      const auto printed = command::printCommand(command::parseCommand(text));
      CHECK(command::printCommand(command::parseCommand(printed)) == printed);
      ++read;
    } catch (const command::ParseError& error) {
      CHECK(error.column() >= 1);
      ++refused;
    }
  }
  CHECK(read > 0);
  CHECK(refused > kCases / 4);
}

TEST_CASE("damaged settings files are read or refused with a remedy", "[fuzz]") {
  Mutator mutator(
      22, {"[", "]", "[[store.replicas]]", "=", "\"", "1979-05-27", "1e999", "-", "\n", "zone = 1\n"});
  int read = 0;
  int refused = 0;
  for (int i = 0; i < kCases; ++i) {
    store::StoreSettings store;
    settings::SettingsTable table;
    store::declareStoreSettings(table, store);
    const auto text = mutator.mutate(kStoreSettings);
    INFO(text);
    try {
      table.load(settings::parseSettingsText(text, "test.toml"), {});
      ++read;
    } catch (const Error& error) {
      CHECK_FALSE(error.remedy().empty());
      ++refused;
    }
  }
  CHECK(read > 0);
  CHECK(refused > kCases / 4);
}

}  // namespace
}  // namespace cometstand::fuzz

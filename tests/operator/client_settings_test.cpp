#include "operator/client_settings.h"

#include <catch2/catch.hpp>
#include <cstdlib>

#include "base/error.h"
#include "settings/settings_file.h"

namespace cometstand::command {
namespace {

ClientSettings load(std::vector<const char*> flags, const std::string& file = "") {
  flags.insert(flags.begin(), "cometctl");
  const auto arguments = parseClientArguments(static_cast<int>(flags.size()), flags.data());
  ClientSettings client;
  settings::SettingsTable table;
  declareClientSettings(table, client);
  table.load(settings::parseSettingsText(file, "test"), arguments.overrides);
  return client;
}

TEST_CASE("flags go over the settings file", "[client_settings]") {
  const auto client =
      load({"--store", "127.0.0.1:7001", "--store", "127.0.0.1:7002", "--tenant", "12", "--operator",
            "a\"b\\", "--timeout", "5s", "--output", "json", "--plain", "show", "version"},
           "tenant = \"other\"\ntls.certificate = \"c.pem\"\n");
  CHECK(client.stores == std::vector<runtime::Address>{{"127.0.0.1", 7001}, {"127.0.0.1", 7002}});
  CHECK(client.tenant == "12");
  CHECK(client.operator_name == "a\"b\\");
  CHECK(client.time_limit == std::chrono::seconds(5));
  CHECK(client.output == "json");
  CHECK_FALSE(client.tls.enabled);
  CHECK_THROWS_WITH(load({"--plain", "--output", "xml"}), Catch::Contains("output"));
  CHECK_THROWS_WITH(load({}), Catch::Contains("tls.enabled"));
}

TEST_CASE("the words after the flags are the command", "[client_settings]") {
  const std::vector<const char*> words{"cometctl", "--plain", "show", "changes", "last", "20"};
  CHECK(parseClientArguments(static_cast<int>(words.size()), words.data()).command == "show changes last 20");
  const std::vector<const char*> none{"cometctl", "--plain"};
  CHECK_FALSE(parseClientArguments(static_cast<int>(none.size()), none.data()).command);
}

TEST_CASE("the token comes from the file or the environment, never from a flag", "[client_settings]") {
  ClientSettings client;
  ::unsetenv(kTokenVariable);
  CHECK_THROWS_WITH(readToken(client), Catch::Contains("--token-file"));
  ::setenv(kTokenVariable, "token-of-anna", 1);
  CHECK(readToken(client) == "token-of-anna");
  client.token_file = "/does/not/exist";
  CHECK_THROWS_WITH(readToken(client), Catch::Contains("/does/not/exist"));
  ::unsetenv(kTokenVariable);
  const std::vector<const char*> flag{"cometctl", "--token", "token-of-anna", "show", "version"};
  CHECK_THROWS_WITH(parseClientArguments(static_cast<int>(flag.size()), flag.data()),
                    Catch::Contains("--token is not a flag") && !Catch::Contains("token-of-anna"));
}

}  // namespace
}  // namespace cometstand::command

// A secret's bytes appear in no log and in no answer to an operator.
#include <fmt/format.h>

#include <catch2/catch.hpp>

#include "rehearsal_fleet/small_fleet.h"

namespace cometstand::rehearsal {
namespace {

std::string allText(const CommandResult& result) {
  std::string text = result.text();
  for (const auto& row : result.reply.rows) {
    for (const auto& cell : row->cells) text += " " + cell;
  }
  return text;
}

TEST_CASE("a secret's value is in no log and in no query", "[fleet][secret]") {
  SmallFleet fleet("secret");
  const std::string secret = fleet->deployment().secret_value;
  const std::string new_secret = "another-secret-0c5d";
  fleet.waitInForce(fleet->tenantOperator().mustRun(
      fmt::format("change {{ put secret {} value \"{}\" }}", fleet->deployment().secret_name, new_secret)));
  for (auto console : {fleet->administrator(), fleet->tenantOperator()}) {
    for (const char* query : {"show version", "show proxies", "show routes", "show services", "show nodes",
                              "show tenants", "show secrets", "show replicas", "show changes last 100",
                              "show route /masters", "show endpoints of wspolnota/editor-desk"}) {
      const auto text = allText(console.run(query));
      INFO(query << ": " << text);
      CHECK(text.find(secret) == std::string::npos);
      CHECK(text.find(new_secret) == std::string::npos);
    }
  }
  CHECK(fleet->logsWith(secret).empty());
  CHECK(fleet->logsWith(new_secret).empty());
  // The logs are really read: every store logs its role.
  CHECK(fleet->logsWith("consensus_role_changed").size() == fleet->options().stores);
}

}  // namespace
}  // namespace cometstand::rehearsal

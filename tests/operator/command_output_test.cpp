#include "operator/command_output.h"

#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <memory>

#include "base/error.h"

namespace cometstand::command {
namespace {

namespace json = boost::json;

ClientResult twoRoutes() {
  ClientResult result;
  result.reached = true;
  result.reply.version = 7;
  result.reply.columns = {"route", "path"};
  for (const auto& cells :
       {std::vector<std::string>{"cues", "/a \"quoted\" path"}, {"frames-of-video", "/f"}}) {
    auto row = std::make_shared<wire::RowT>();
    row->cells = cells;
    result.reply.rows.push_back(row);
  }
  return result;
}

TEST_CASE("rows are printed below their columns", "[command_output]") {
  CHECK(formatTable(twoRoutes().reply) ==
        "route            path\n"
        "cues             /a \"quoted\" path\n"
        "frames-of-video  /f\n");
  wire::CommandReplyT change;
  change.version = 8;
  CHECK(formatTable(change) == "completed: version 8\n");
}

TEST_CASE("JSON holds a row as an object, and an error with its remedy", "[command_output]") {
  const auto object = json::parse(formatJson(twoRoutes(), "1-a")).as_object();
  CHECK(object.at("outcome").as_string() == "completed");
  CHECK(object.at("request_id").as_string() == "1-a");
  CHECK(object.at("rows").at(0).at("path").as_string() == "/a \"quoted\" path");

  ClientResult refusal;
  refusal.reached = true;
  refusal.reply.outcome = wire::Outcome::NotRun;
  refusal.reply.error = std::make_shared<wire::ErrorInfoT>();
  refusal.reply.error->kind = static_cast<std::uint16_t>(ErrorKind::Overloaded);
  refusal.reply.error->retry_after_ms = 250;
  const auto error = json::parse(formatJson(refusal, "1-a")).at("error").as_object();
  CHECK(error.at("kind").as_string() == "overloaded");
  CHECK(error.at("retry_after_ms").as_int64() == 250);
  CHECK_THAT(formatProblem(refusal, "1-a"), Catch::Contains("come back in 250 ms"));
}

TEST_CASE("a wrong command is shown with its column, but never where a secret may stand",
          "[command_output]") {
  const auto shown = [](const std::string& text) -> std::string {
    try {
      parseCommand(text);
    } catch (const ParseError& error) {
      return std::string(error.what()) + "\n" + formatParseError(text, error);
    }
    return "no error";
  };
  CHECK_THAT(shown("show rutes"), Catch::Contains("column 6") && Catch::EndsWith("  show rutes\n       ^\n"));
  CHECK_THAT(shown("change {\n  delete nothing x;\n}"),
             Catch::EndsWith("    delete nothing x;\n           ^\n"));
  const std::string leak = shown("change { put secret key value \"hunter2\" hunter3; }");
  CHECK_THAT(leak, !Catch::Contains("hunter"));
}

}  // namespace
}  // namespace cometstand::command

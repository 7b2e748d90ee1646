#include <algorithm>
#include <catch2/catch.hpp>
#include <fstream>
#include <iterator>
#include <set>

#include "base/random.h"
#include "operator/command.h"

using namespace cometstand;
using namespace cometstand::command;
using namespace std::chrono_literals;
using Catch::Contains;

namespace {

template <typename Type>
Type parseAs(const std::string& text) {
  return std::get<Type>(parseCommand(text));
}

ParseError errorOf(const std::string& text) {
  try {
    parseCommand(text);
  } catch (const ParseError& error) {
    return error;
  }
  FAIL("no error: " << text);
  throw std::logic_error("unreachable");
}

/// The commands in the code blocks of docs/LANGUAGE.md: one a line, and braces go on over lines.
std::vector<std::string> documentedCommands() {
  std::ifstream stream(SOURCE_FOLDER "/docs/LANGUAGE.md");
  std::vector<std::string> commands;
  std::string line;
  std::string pending;
  bool in_code = false;
  int depth = 0;
  while (std::getline(stream, line)) {
    if (line.starts_with("```")) {
      in_code = !in_code && line == "```";
      continue;
    }
    if (!in_code) continue;
    depth += static_cast<int>(std::count(line.begin(), line.end(), '{'));
    depth -= static_cast<int>(std::count(line.begin(), line.end(), '}'));
    pending += line + "\n";
    if (depth > 0) continue;
    commands.push_back(std::move(pending));
    pending.clear();
  }
  return commands;
}

}  // namespace

TEST_CASE("every example of the language page parses, and reads back from its printed form") {
  const auto commands = documentedCommands();
  REQUIRE(commands.size() > 35);
  std::set<std::size_t> kinds;
  for (const auto& text : commands) {
    CAPTURE(text);
    const auto command = parseCommand(text);
    kinds.insert(command.index());
    const auto printed = printCommand(command);
    CHECK(printCommand(parseCommand(printed)) == printed);
  }
  CHECK(kinds.size() == std::variant_size_v<Command>);
}

TEST_CASE("conditions on proxies are read and applied") {
  const auto query = parseAs<ShowProxies>("show proxies where zone = krk-a and version < 120 and node != n7");
  REQUIRE(query.conditions.size() == 3);
  wire::ProxyStatusT proxy;
  proxy.zone = "krk-a";
  proxy.node = "n1";
  proxy.as_of = 119;
  CHECK(matches(query, proxy));
  proxy.as_of = 120;
  CHECK_FALSE(matches(query, proxy));
  proxy.as_of = 1;
  proxy.node = "n7";
  CHECK_FALSE(matches(query, proxy));
  CHECK(matches(parseAs<ShowProxies>("show proxies"), proxy));
  CHECK(matches(parseAs<ShowProxies>("show proxies where view_version >= 0"), proxy));
}

TEST_CASE("a change becomes a transaction of the operator's own tenant") {
  const auto change = parseAs<Change>(R"(change if version 12 {
    put service desk { endpoint e1 at 127.0.0.1:9001 zone krk-a; };
    put route other/cues host desk.example path /cues method GET to desk class bulk timeout 250ms;
    put secret key value "a\x00\"";
    put node n1 zone krk-a tenants (own);
    delete tenant gone })");
  const auto transaction = toTransaction(change, "own");
  CHECK(transaction.if_version == 12);
  REQUIRE(transaction.operations.size() == 5);
  const auto& service = *transaction.operations[0];
  CHECK(service.key->tenant == "own");
  CHECK(service.key->name == "desk");
  const auto& endpoint = *service.object->spec.AsServiceSpec()->endpoints.at(0);
  CHECK(endpoint.port == 9001);
  CHECK(endpoint.slots == 6);
  CHECK(endpoint.max_connections == 130);
  const auto& route = *transaction.operations[1];
  CHECK(route.key->tenant == "other");
  CHECK(route.object->spec.AsRouteSpec()->request_class == wire::RequestClass::Bulk);
  CHECK(route.object->spec.AsRouteSpec()->timeout_ms == 250);
  CHECK(route.object->spec.AsRouteSpec()->method == "GET");
  const std::vector<std::uint8_t> value{'a', 0, '"'};
  CHECK(transaction.operations[2]->object->spec.AsSecretSpec()->value == value);
  CHECK(transaction.operations[3]->key->tenant.empty());
  CHECK(transaction.operations[4]->key->kind == wire::ObjectKind::Tenant);
  CHECK(transaction.operations[4]->key->tenant == "gone");
  CHECK(transaction.operations[4]->object == nullptr);
}

TEST_CASE("an error names the column and what was expected") {
  const auto unknown = errorOf("shew version");
  CHECK(unknown.column() == 1);
  CHECK_THAT(unknown.message(), Contains("column 1: expected show, change") && Contains("found 'shew'"));
  CHECK(errorOf("show  proxys").column() == 7);
  CHECK_THAT(errorOf("show proxies where zone < a").message(), Contains("column 25: expected = or !="));
  CHECK_THAT(errorOf("show changes last many").message(), Contains("expected a count, found 'many'"));
  CHECK_THAT(errorOf("show version now").message(), Contains("expected the end of the command"));
  CHECK_THAT(errorOf("wait version 3 in").message(), Contains("expected force, found the end"));
  CHECK_THAT(errorOf("change { put route r path cues to s }").message(), Contains("begins with '/'"));
  CHECK_THAT(errorOf("change { put route r path /c to s timeout 2 }").message(), Contains("such as 2s"));
  CHECK_THAT(errorOf("change { put route r path /c to s timeout 1500us }").message(),
             Contains("whole milli"));
  CHECK_THAT(errorOf("change { put service s { endpoint e at host:1 zone z } }").message(),
             Contains("an IP address and port"));
  CHECK_THAT(errorOf("change { put route r path /c to s retries 1 retries 2 }").message(),
             Contains("column 45: expected another option, ';' or '}'"));
  CHECK_THAT(errorOf("change { }").message(), Contains("put or delete"));
  CHECK_THAT(errorOf("show changes last 99999999999999999999").message(), Contains("a count"));
  const auto second_line = errorOf("change {\n  drop route r }");
  CHECK(second_line.line() == 2);
  CHECK(second_line.column() == 3);
  CHECK_THAT(second_line.message(), Contains("line 2, column 3"));
}

TEST_CASE("an error does not repeat a secret") {
  for (const auto* text :
       {"base64 \"hunter2!\"", "value hunter2", "value \"a\"hunter2\"", "value \"hunter2"}) {
    CHECK_THAT(errorOf(std::string("change { put secret s ") + text + " }").what(), !Contains("hunter2"));
  }
}

TEST_CASE("arbitrary text gives a command or a typed error") {
  const auto commands = documentedCommands();
  RandomSource random(20261202);
  constexpr int kRounds = 20000;
  int refused = 0;
  for (int round = 0; round < kRounds; ++round) {
    auto text = commands[random.uniform(0, commands.size() - 1)];
    const auto edits = random.uniform(1, 6);
    for (std::uint64_t edit = 0; edit < edits; ++edit) {
      const auto position = random.uniform(0, text.size() - 1);
      if (random.chance(0.5)) {
        text[position] = static_cast<char>(random.uniform(0, 255));
      } else {
        text = text.substr(0, position) + text.substr(random.uniform(0, text.size() - 1));
      }
      if (text.empty()) text = " ";
    }
    try {
      const auto printed = printCommand(parseCommand(text));
      CHECK(printCommand(parseCommand(printed)) == printed);
    } catch (const ParseError& error) {
      ++refused;
      CHECK(error.kind() == ErrorKind::Malformed);
    }
  }
  CHECK(refused > 0);
  CHECK(refused < kRounds);
}

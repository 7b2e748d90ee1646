#include "settings/settings_table.h"

#include <catch2/catch.hpp>

#include "base/error.h"
#include "base/random.h"
#include "settings/common_settings.h"
#include "settings/settings_file.h"

using namespace cometstand;
using namespace cometstand::settings;
using namespace std::chrono_literals;

namespace {

struct Peer {
  std::uint64_t id = 0;
  runtime::Address address;
};

struct Example {
  bool fast = false;
  std::string name = "a";
  std::string mode = "near";
  double share = 0.5;
  Duration window = 50ms;
  std::uint64_t buffer = 64U * 1024U;
  std::uint16_t count = 3;
  runtime::Address listen{"127.0.0.1", 0};
  std::vector<runtime::Address> seeds;
  std::vector<std::string> tenants;
  std::vector<Peer> peers;
};

void declareExample(SettingsTable& table, Example& example) {
  table.flag("fast", example.fast, "Fast.");
  table.text("relay.name", example.name, "Name.");
  table.choice("relay.mode", example.mode, {"near", "far"}, "Mode.");
  table.number("relay.share", example.share, {0, 1}, "Share.");
  table.duration("relay.window", example.window, {1ms, 1min}, "Window.");
  table.size("relay.buffer", example.buffer, {1024, 1U << 20U}, "Buffer.");
  table.integer<std::uint16_t>("relay.count", example.count, {1, 9}, "Count.");
  table.address("relay.listen", example.listen, "Address.");
  table.addresses("relay.seeds", example.seeds, "Seeds.");
  table.texts("relay.tenants", example.tenants, "Tenants.");
  table.rows<Peer>("relay.peers", example.peers, "Peers.", [](SettingsTable& row, Peer& peer) {
    row.integer<std::uint64_t>("id", peer.id, {1, 99}, "Id.").required();
    row.address("address", peer.address, "Address.");
  });
}

Example load(const std::string& text, const std::vector<std::string>& overrides = {}) {
  Example example;
  SettingsTable table;
  declareExample(table, example);
  table.load(parseSettingsText(text, "test.toml"), overrides);
  return example;
}

std::string errorOf(const std::string& text, const std::vector<std::string>& overrides = {}) {
  try {
    load(text, overrides);
  } catch (const Error& error) {
    CHECK((error.kind() == ErrorKind::Invalid || error.kind() == ErrorKind::Malformed));
    CHECK_FALSE(error.remedy().empty());
    return error.what();
  }
  return "no error";
}

}  // namespace

TEST_CASE("each type of setting is read from a file") {
  const auto example = load(R"(
fast = true
[relay]
name = "b"
mode = "far"
share = 1
window = "2s"
buffer = "2KiB"
count = 9
listen = "[::1]:7000"
seeds = ["127.0.0.1:1", "127.0.0.2:2"]
tenants = ["x", "y"]
[[relay.peers]]
id = 7
address = "127.0.0.1:3"
[[relay.peers]]
id = 8
)");
  CHECK(example.fast);
  CHECK(example.name == "b");
  CHECK(example.mode == "far");
  CHECK(example.share == 1.0);
  CHECK(example.window == 2s);
  CHECK(example.buffer == 2048);
  CHECK(example.count == 9);
  CHECK(example.listen == runtime::Address{"::1", 7000});
  CHECK(example.seeds == std::vector<runtime::Address>{{"127.0.0.1", 1}, {"127.0.0.2", 2}});
  CHECK(example.tenants == std::vector<std::string>{"x", "y"});
  REQUIRE(example.peers.size() == 2);
  CHECK(example.peers[0].address == runtime::Address{"127.0.0.1", 3});
  CHECK(example.peers[1].id == 8);
}

TEST_CASE("flags override the file and need no quotes") {
  const auto example = load("relay.name = \"b\"", {"relay.name=krk-a", "relay.window=5ms", "relay.count=4",
                                                   "relay.listen=127.0.0.1:7", "relay.tenants=[\"z\"]"});
  CHECK(example.name == "krk-a");
  CHECK(example.window == 5ms);
  CHECK(example.count == 4);
  CHECK(example.listen.port == 7);
  CHECK(example.tenants == std::vector<std::string>{"z"});
  CHECK(load("", {"relay.name=123"}).name == "123");
}

TEST_CASE("a wrong setting is an error that names line, key and remedy") {
  using Catch::Contains;
  CHECK_THAT(errorOf("fast = true\n[relay]\nwindow = 50"),
             Contains("test.toml line 3: relay.window") && Contains("duration with a unit"));
  CHECK_THAT(errorOf("[relay]\nwindow = \"50\""), Contains("line 2") && Contains("us, ms, s, m, h"));
  CHECK_THAT(errorOf("[relay]\nwindow = \"5KiB\""), Contains("not a duration"));
  CHECK_THAT(errorOf("[relay]\nwindow = \"2h\""), Contains("out of range") && Contains("1ms to 1m"));
  CHECK_THAT(errorOf("[relay]\nbuffer = \"64ms\""), Contains("not a size") && Contains("KiB"));
  CHECK_THAT(errorOf("[relay]\nbuffer = \"99999999999GiB\""), Contains("not a size"));
  CHECK_THAT(errorOf("[relay]\ncount = 10"), Contains("1 to 9"));
  CHECK_THAT(errorOf("[relay]\ncount = \"3\""), Contains("a string does not fit here"));
  CHECK_THAT(errorOf("[relay]\nmode = \"up\""), Contains("near, far"));
  CHECK_THAT(errorOf("[relay]\nlisten = \"localhost:1\""), Contains("names are not looked up"));
  CHECK_THAT(errorOf("[relay]\nlisten = \"127.0.0.1:70000\""), Contains("not an address"));
  CHECK_THAT(errorOf("[relay]\nseeds = [\"x\"]"), Contains("relay.seeds"));
  CHECK_THAT(errorOf("[relay]\nwindo = \"1s\""),
             Contains("line 2: relay.windo: unknown key") && Contains("relay.window"));
  CHECK_THAT(errorOf("relay = 3"), Contains("write [relay]"));
  CHECK_THAT(errorOf("[[relay.peers]]\naddress = \"127.0.0.1:3\""), Contains("required key id"));
  CHECK_THAT(errorOf("[[relay.peers]]\nid = 1\nport = 2"), Contains("line 3: port: unknown key"));
  CHECK_THAT(errorOf("fast = yes"), Contains("test.toml line 1"));
  CHECK_THAT(errorOf("fast = 1979-05-27"), Contains("dates and times"));
  CHECK_THAT(errorOf("", {"relay.count"}), Contains("--set key=value"));
  CHECK_THAT(errorOf("", {"nothing=1"}), Contains("unknown key"));
  CHECK_THAT(errorOf("", {"relay.window=1"}), Contains("flag --set: relay.window"));
}

TEST_CASE("TLS without certificates is refused unless it is switched off") {
  CommonSettings settings;
  SettingsTable table;
  declareCommonSettings(table, settings);
  CHECK_THROWS_AS(table.load({}, {}), Error);
  CHECK_NOTHROW(table.load({}, {"tls.enabled=false"}));
}

TEST_CASE("arbitrary settings text gives settings or a typed error") {
  RandomSource random(20261202);
  const std::string base = "fast = true\n[relay]\nwindow = \"2s\"\nseeds = [\"127.0.0.1:1\"]\ncount = 4\n";
  const std::string alphabet = "=[]\".#\n\\x0129abms{}, -_:T";
  int refused = 0;
  constexpr int kRounds = 3000;
  for (int round = 0; round < kRounds; ++round) {
    auto text = base;
    const auto edits = random.uniform(1, 4);
    for (std::uint64_t edit = 0; edit < edits; ++edit) {
      text[random.uniform(0, text.size() - 1)] = alphabet[random.uniform(0, alphabet.size() - 1)];
    }
    try {
      load(text);
    } catch (const Error&) {
      ++refused;
    }
  }
  CHECK(refused > 0);
  CHECK(refused < kRounds);
}

#include <catch2/catch.hpp>
#include <fstream>
#include <iterator>

#include "proxy/proxy_settings.h"
#include "tests/proxy/objects.h"

namespace cometstand::proxy {
namespace {

RouteEdit edit(const std::string& host, const std::string& prefix, const std::string& method = "") {
  return [=](wire::RouteSpecT& route) {
    route.host = host;
    route.path_prefix = prefix;
    route.method = method;
    route.service = "s";
  };
}

TEST_CASE("the most exact route wins", "[router]") {
  const Router router({makeService("s", 1), makeRoute("any", edit("", "/")),
                       makeRoute("host", edit("desk.example", "/")),
                       makeRoute("cue", edit("desk.example", "/cue")),
                       makeRoute("post", edit("desk.example", "/cue", "POST"))});
  const auto name = [&](const char* host, const char* target, const char* method) {
    const auto route = router.find(host, target, method);
    return route == nullptr ? std::string() : route->name;
  };
  CHECK(name("other", "/cue", "GET") == "any");
  CHECK(name("DESK.example", "/x", "GET") == "host");
  CHECK(name("desk.example", "/cue/1?a=/b", "GET") == "cue");
  CHECK(name("desk.example", "/cues", "GET") == "host");
  CHECK(name("desk.example", "/cue", "POST") == "post");
}

TEST_CASE("a route without its service or secret is left out", "[router]") {
  const auto with_secret = [](wire::RouteSpecT& route) { route.secret = "key"; };
  CHECK(Router({makeRoute("s")}).routeCount() == 0);
  CHECK(Router({makeService("s", 1), makeRoute("s", with_secret)}).routeCount() == 0);
  const Router whole({makeService("s", 1), makeRoute("s", with_secret), makeSecret("key", "token")});
  REQUIRE(whole.routeCount() == 1);
  CHECK(whole.find("", "/s", "GET")->secret == "token");
  // Another tenant's service of the same name does not count.
  CHECK(Router({makeService("s", 1, 6, "other"), makeRoute("s")}).routeCount() == 0);
}

TEST_CASE("docs/SETTINGS.md lists every setting of the proxy", "[settings]") {
  ProxySettings settings;
  settings::SettingsTable table;
  declareProxySettings(table, settings);
  settings::CommonSettings common;
  settings::SettingsTable common_table;
  settings::declareCommonSettings(common_table, common);
  const auto all = settings::describeAsMarkdown(table);
  // The rows that every program has stand in a table of their own, which tests/settings checks.
  const auto own = all.substr(settings::describeAsMarkdown(common_table).size());
  REQUIRE(own.starts_with("| `proxy."));
  std::ifstream stream(SOURCE_FOLDER "/docs/SETTINGS.md");
  const std::string document{std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
  CHECK(document.find(own) != std::string::npos);
}

}  // namespace
}  // namespace cometstand::proxy

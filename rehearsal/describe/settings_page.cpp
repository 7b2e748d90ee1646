#include "rehearsal/describe/settings_page.h"

#include <fmt/format.h>

#include <set>
#include <string_view>

#include "operator/client_settings.h"
#include "proxy/proxy_settings.h"
#include "relay/relay_settings.h"
#include "settings/common_settings.h"
#include "settings/settings_table.h"
#include "sidecar/sidecar_settings.h"
#include "store/store_settings.h"

namespace cometstand::rehearsal {
namespace {

constexpr std::string_view kIntroduction = R"(# Settings

Every program reads one TOML file, named by `--settings FILE`; `--set key=value` (repeatable) goes over the file.
`--check-settings` checks both and exits: 0 if all is well, 2 with a message that names line, key and remedy.
Unknown keys, wrong types, missing units and values out of range are errors, never ignored.

A dotted key stands in its group: `relay.batch_window` is `batch_window` below `[relay]`. Durations (`"50ms"`,
`"2s"`, `"1m"`, `"1h"`) and sizes (`"64KiB"`, `"1MiB"`) are strings with a unit. Addresses are an IP address and a
port (`"127.0.0.1:7000"`, `"[::1]:7000"`); names are not looked up. Keys written `list[].key` stand below `[[list]]`.

This page is printed by `cometstand-describe settings`; a test compares it with the code. `examples/` has files for
two fleets.
)";

std::set<std::string> keysOf(const settings::SettingsTable& table) {
  std::set<std::string> keys;
  for (const auto& setting : table.describe()) keys.insert(setting.key);
  return keys;
}

/// @return the table's Markdown without the rows of the keys.
std::string markdownWithout(const settings::SettingsTable& table, const std::set<std::string>& keys) {
  const std::string whole = settings::describeAsMarkdown(table);
  std::string rest;
  for (std::size_t begin = 0; begin < whole.size();) {
    const std::size_t end = whole.find('\n', begin) + 1;
    const std::string line = whole.substr(begin, end - begin);
    const auto first_tick = line.find('`');
    const bool is_row = first_tick == 2;
    const auto key = is_row ? line.substr(3, line.find('`', 3) - 3) : std::string();
    if (!is_row || !keys.contains(key)) rest += line;
    begin = end;
  }
  return rest;
}

std::string section(std::string_view title, const std::string& markdown) {
  return fmt::format("\n## {}\n\n{}", title, markdown);
}

}  // namespace

std::string settingsPage() {
  settings::CommonSettings common;
  settings::SettingsTable common_table;
  settings::declareCommonSettings(common_table, common);
  store::StoreSettings store;
  settings::SettingsTable store_table;
  store::declareStoreSettings(store_table, store);
  relay::RelaySettings relay;
  settings::SettingsTable relay_table;
  relay::declareRelaySettings(relay_table, relay);
  proxy::ProxySettings proxy;
  settings::SettingsTable proxy_table;
  proxy::declareProxySettings(proxy_table, proxy);
  sidecar::SidecarSettings sidecar;
  settings::SettingsTable sidecar_table;
  sidecar::declareSidecarSettings(sidecar_table, sidecar);
  command::ClientSettings client;
  settings::SettingsTable client_table;
  command::declareClientSettings(client_table, client);

  const auto shared = keysOf(common_table);
  return std::string(kIntroduction) +
         section("Every program: store, relay and proxy", settings::describeAsMarkdown(common_table)) +
         section("cometstand-store", markdownWithout(store_table, shared)) +
         section("cometstand-relay", markdownWithout(relay_table, shared)) +
         section("cometstand-proxy", markdownWithout(proxy_table, shared)) +
         section("Sidecar (deploy/, platform/)", markdownWithout(sidecar_table, shared)) +
         section("cometctl", settings::describeAsMarkdown(client_table));
}

}  // namespace cometstand::rehearsal

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <iterator>

#include "config/catalog.h"
#include "config/transaction_check.h"
#include "operator/client_settings.h"
#include "operator/command.h"
#include "proxy/proxy_settings.h"
#include "relay/relay_settings.h"
#include "settings/settings_file.h"
#include "store/store_settings.h"

namespace cometstand {
namespace {

namespace filesystem = std::filesystem;

const filesystem::path& examplesFolder() {
  static const filesystem::path folder = filesystem::path(SOURCE_FOLDER) / "examples";
  return folder;
}

/// Reads the file as --check-settings does. @throw Error as the program would print it.
template <typename Settings, typename Declare>
Settings load(const filesystem::path& file, const Declare& declare) {
  Settings program;
  settings::SettingsTable table;
  declare(table, program);
  table.load(settings::readSettingsFile(file), {});
  return program;
}

bool beginsWith(const std::string& text, const std::string& start) { return text.rfind(start, 0) == 0; }

void check(const filesystem::path& file) {
  const std::string name = file.filename();
  INFO(file);
  if (beginsWith(name, "store-")) {
    CHECK_NOTHROW(load<store::StoreSettings>(file, store::declareStoreSettings));
  } else if (beginsWith(name, "relay-")) {
    CHECK_NOTHROW(load<relay::RelaySettings>(file, relay::declareRelaySettings));
  } else if (beginsWith(name, "proxy-")) {
    CHECK_NOTHROW(load<proxy::ProxySettings>(file, proxy::declareProxySettings));
  } else {
    CHECK(name == "operator.toml");
    CHECK_NOTHROW(load<command::ClientSettings>(file, command::declareClientSettings));
  }
}

TEST_CASE("the settings of the example fleets pass their programs' checks", "[examples]") {
  int files = 0;
  for (const char* fleet : {"krakow", "astana"}) {
    for (const auto& entry : filesystem::directory_iterator(examplesFolder() / fleet)) {
      if (entry.path().extension() != ".toml") continue;
      check(entry.path());
      ++files;
    }
  }
  // Three replicas, four relays, four proxies and one operator each.
  CHECK(files == 2 * 12);
}

TEST_CASE("the relays of an example fleet know the store and one another", "[examples]") {
  const auto folder = examplesFolder() / "krakow";
  const auto store = load<store::StoreSettings>(folder / "store-1.toml", store::declareStoreSettings);
  const auto relay = load<relay::RelaySettings>(folder / "relay-krk-b.toml", relay::declareRelaySettings);
  const auto proxy = load<proxy::ProxySettings>(folder / "proxy-krk-b.toml", proxy::declareProxySettings);
  REQUIRE(relay.options.stores.size() == store.replicas.size());
  for (std::size_t i = 0; i < store.replicas.size(); ++i) {
    CHECK(relay.options.stores[i] == store.replicas[i].address);
  }
  CHECK(relay.options.peers.size() == 3);
  CHECK(proxy.control.relays.front().address == relay.common.listen);
}

TEST_CASE("the first change of an example fleet is accepted", "[examples]") {
  for (const char* fleet : {"krakow", "astana"}) {
    std::ifstream stream(examplesFolder() / fleet / "configuration.command");
    const std::string text{std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
    const auto change = std::get<command::Change>(command::parseCommand(text));
    const config::Catalog catalog;
    INFO(fleet);
    CHECK_NOTHROW(config::checkTransaction(catalog, {"mesh", true}, command::toTransaction(change, "mesh")));
  }
}

}  // namespace
}  // namespace cometstand

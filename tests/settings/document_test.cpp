#include <catch2/catch.hpp>
#include <fstream>
#include <iterator>
#include <string>

#include "settings/common_settings.h"
#include "settings/settings_table.h"

using namespace cometstand::settings;

namespace {

std::string readDocument() {
  std::ifstream stream(SOURCE_FOLDER "/docs/SETTINGS.md");
  return {std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
}

}  // namespace

TEST_CASE("docs/SETTINGS.md lists the settings that every program has") {
  CommonSettings settings;
  SettingsTable table;
  declareCommonSettings(table, settings);
  CHECK_THAT(readDocument(), Catch::Contains(describeAsMarkdown(table)));
}

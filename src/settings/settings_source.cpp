#include "settings/settings_source.h"

#include <fstream>
#include <iterator>

#include "settings/settings_file.h"

namespace cometstand::settings {

std::string SettingsSource::readText() const {
  std::ifstream stream(file_, std::ios::binary);
  return {std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
}

void SettingsSource::load(SettingsTable& table) {
  loaded_text_ = readText();
  table.load(file_.empty() ? SettingGroup() : readSettingsFile(file_), overrides_);
}

bool SettingsSource::hasChanged() const { return !file_.empty() && readText() != loaded_text_; }

}  // namespace cometstand::settings

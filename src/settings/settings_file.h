#pragma once

#include <string>
#include <string_view>

#include "settings/setting_value.h"

namespace cometstand::settings {

/// @param name the name to use in messages.
/// @return the TOML text as nested groups; each value knows its line.
/// @throw Error(Malformed) if the text is not TOML, or holds a date or time.
SettingGroup parseSettingsText(std::string_view text, const std::string& name);

/// @throw Error(InputOutput) if the file cannot be read; Error(Malformed) as parseSettingsText().
SettingGroup readSettingsFile(const std::string& path);

/// Reads the value of `--set key=value`. A value that is not TOML stands for a string, so that
/// `--set zone=zone-a` needs no quotes.
SettingValue parseFlagValue(const std::string& text);

}  // namespace cometstand::settings

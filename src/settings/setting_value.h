#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace cometstand::settings {

struct SettingValue;
using SettingList = std::vector<SettingValue>;
using SettingGroup = std::map<std::string, SettingValue>;

/// One value as it was written, together with the place where it stands.
struct SettingValue {
  std::variant<bool, std::int64_t, double, std::string, SettingList, SettingGroup> data;
  /// For messages: "fleet.toml line 12" or "flag --set".
  std::string origin;
  /// For a value given by a flag, the text as written there; empty otherwise.
  std::string flag_text;
};

}  // namespace cometstand::settings

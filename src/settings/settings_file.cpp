#include "settings/settings_file.h"

#include <fmt/format.h>
#include <toml++/toml.h>

#include <fstream>
#include <iterator>

#include "base/error.h"

namespace cometstand::settings {
namespace {

constexpr auto kFlagOrigin = "flag --set";

SettingValue convert(const toml::node& node, const std::string& name);

SettingGroup convertGroup(const toml::table& table, const std::string& name) {
  SettingGroup group;
  for (const auto& [key, child] : table) group.emplace(std::string(key.str()), convert(child, name));
  return group;
}

SettingList convertList(const toml::array& array, const std::string& name) {
  SettingList list;
  for (const auto& child : array) list.push_back(convert(child, name));
  return list;
}

SettingValue convert(const toml::node& node, const std::string& name) {
  SettingValue value;
  value.origin = fmt::format("{} line {}", name, node.source().begin.line);
  if (const auto* text = node.as_string()) {
    value.data = text->get();
  } else if (const auto* integer = node.as_integer()) {
    value.data = integer->get();
  } else if (const auto* number = node.as_floating_point()) {
    value.data = number->get();
  } else if (const auto* flag = node.as_boolean()) {
    value.data = flag->get();
  } else if (const auto* array = node.as_array()) {
    value.data = convertList(*array, name);
  } else if (const auto* table = node.as_table()) {
    value.data = convertGroup(*table, name);
  } else {
    throw Error(ErrorKind::Malformed, value.origin + ": dates and times are not used in settings",
                "write a duration with a unit, such as \"50ms\"");
  }
  return value;
}

}  // namespace

SettingGroup parseSettingsText(std::string_view text, const std::string& name) {
  try {
    return convertGroup(toml::parse(text), name);
  } catch (const toml::parse_error& error) {
    throw Error(ErrorKind::Malformed,
                fmt::format("{} line {}: {}", name, error.source().begin.line, error.description()),
                fmt::format("correct the TOML at column {}", error.source().begin.column));
  }
}

SettingGroup readSettingsFile(const std::string& path) {
  std::ifstream stream(path, std::ios::binary);
  std::string text((std::istreambuf_iterator<char>(stream)), std::istreambuf_iterator<char>());
  if (!stream) {
    throw Error(ErrorKind::InputOutput, "cannot read the settings file " + path,
                "name an existing, readable file with --settings");
  }
  return parseSettingsText(text, path);
}

SettingValue parseFlagValue(const std::string& text) {
  SettingValue value;
  try {
    auto group = convertGroup(toml::parse("value = " + text), kFlagOrigin);
    if (group.size() == 1) value = std::move(group.at("value"));
  } catch (const toml::parse_error&) {
    value.data = text;
  }
  value.origin = kFlagOrigin;
  value.flag_text = text;
  return value;
}

}  // namespace cometstand::settings

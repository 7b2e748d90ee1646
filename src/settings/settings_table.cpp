#include "settings/settings_table.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <utility>

#include "base/error.h"
#include "settings/settings_file.h"
#include "settings/units.h"

namespace cometstand::settings {
namespace {

constexpr auto kNoRange = "any";

std::string quoted(std::string_view text) { return fmt::format("\"{}\"", text); }

Error invalid(const std::string& key, const SettingValue& value, const std::string& problem,
              const std::string& remedy) {
  return Error(ErrorKind::Invalid, fmt::format("{}: {}: {}", value.origin, key, problem), remedy);
}

std::string_view typeName(const SettingValue& value) {
  constexpr std::array<std::string_view, 6> kNames{"a boolean", "an integer", "a number",
                                                   "a string",  "a list",     "a group of keys"};
  return kNames.at(value.data.index());
}

Error wrongType(const std::string& key, const SettingValue& value, const std::string& remedy) {
  return invalid(key, value, fmt::format("{} does not fit here", typeName(value)), remedy);
}

std::string readText(const std::string& key, const SettingValue& value, const std::string& remedy) {
  if (const auto* text = std::get_if<std::string>(&value.data)) return *text;
  if (!value.flag_text.empty()) return value.flag_text;
  throw wrongType(key, value, remedy);
}

/// Calls a parser of units.h, adding key and place to its message.
template <typename Parse>
auto readParsed(const std::string& key, const SettingValue& value, const std::string& remedy, Parse parse) {
  const auto text = readText(key, value, remedy);
  try {
    return parse(text);
  } catch (const Error& error) {
    throw invalid(key, value, error.message(), error.remedy());
  }
}

const SettingList& readList(const std::string& key, const SettingValue& value, const std::string& remedy) {
  const auto* list = std::get_if<SettingList>(&value.data);
  if (list == nullptr) throw wrongType(key, value, remedy);
  return *list;
}

template <typename Value, typename Format>
std::string formatRange(const Range<Value>& range, Format format) {
  return fmt::format("{} to {}", format(range.low), format(range.high));
}

template <typename Value>
void requireInRange(const std::string& key, const SettingValue& origin, Value value,
                    const Range<Value>& range, const std::string& range_text) {
  if (value >= range.low && value <= range.high) return;
  throw invalid(key, origin, "the value is out of range", "write a value from " + range_text);
}

template <typename Item, typename Format>
std::string formatList(const std::vector<Item>& items, Format format) {
  std::vector<std::string> texts;
  std::transform(items.begin(), items.end(), std::back_inserter(texts),
                 [&](const Item& item) { return quoted(format(item)); });
  return fmt::format("[{}]", fmt::join(texts, ", "));
}

std::string formatOptionalAddress(const runtime::Address& address) {
  return address.host.empty() ? std::string() : formatAddress(address);
}

constexpr auto kTextRemedy = "write a string in quotes";
constexpr auto kDurationRemedy = "write a duration with a unit in quotes, such as \"50ms\"";
constexpr auto kSizeRemedy = "write a size with a unit in quotes, such as \"64KiB\"";
constexpr auto kAddressRemedy = "write an address in quotes, such as \"127.0.0.1:7000\"";

}  // namespace

SettingsTable::Setting& SettingsTable::Setting::required() {
  required_ = true;
  description_.default_value = "required";
  return *this;
}

SettingsTable::Setting& SettingsTable::add(SettingDescription description, Reader read) {
  if (find(description.key) != nullptr) {
    throw Error(ErrorKind::Invalid, "setting declared twice: " + description.key, "declare each key once");
  }
  Setting& setting = settings_.emplace_back();
  setting.description_ = std::move(description);
  setting.read_ = std::move(read);
  return setting;
}

SettingsTable::Setting& SettingsTable::flag(const std::string& key, bool& target,
                                            const std::string& description) {
  return add({key, "boolean", target ? "true" : "false", "true or false", description},
             [key, &target](const SettingValue& value) {
               const auto* given = std::get_if<bool>(&value.data);
               if (given == nullptr) throw wrongType(key, value, "write true or false, without quotes");
               target = *given;
             });
}

SettingsTable::Setting& SettingsTable::text(const std::string& key, std::string& target,
                                            const std::string& description) {
  return add({key, "string", quoted(target), kNoRange, description},
             [key, &target](const SettingValue& value) { target = readText(key, value, kTextRemedy); });
}

SettingsTable::Setting& SettingsTable::texts(const std::string& key, std::vector<std::string>& target,
                                             const std::string& description) {
  const auto default_value = formatList(target, [](const std::string& item) { return item; });
  return add({key, "list of strings", default_value, kNoRange, description},
             [key, &target](const SettingValue& value) {
               std::vector<std::string> items;
               for (const auto& item : readList(key, value, "write a list of strings, such as [\"a\"]")) {
                 items.push_back(readText(key, item, kTextRemedy));
               }
               target = std::move(items);
             });
}

SettingsTable::Setting& SettingsTable::choice(const std::string& key, std::string& target,
                                              const std::vector<std::string>& choices,
                                              const std::string& description) {
  const auto choices_text = fmt::format("{}", fmt::join(choices, ", "));
  return add({key, "string", quoted(target), choices_text, description},
             [key, &target, choices, choices_text](const SettingValue& value) {
               const auto remedy = "write one of " + choices_text;
               auto given = readText(key, value, remedy);
               if (std::find(choices.begin(), choices.end(), given) == choices.end()) {
                 throw invalid(key, value, quoted(given) + " is not known here", remedy);
               }
               target = std::move(given);
             });
}

SettingsTable::Setting& SettingsTable::number(const std::string& key, double& target, Range<double> range,
                                              const std::string& description) {
  const auto range_text = formatRange(range, [](double value) { return fmt::format("{}", value); });
  return add({key, "number", fmt::format("{}", target), range_text, description},
             [key, &target, range, range_text](const SettingValue& value) {
               double given = 0;
               if (const auto* number = std::get_if<double>(&value.data)) {
                 given = *number;
               } else if (const auto* integer = std::get_if<std::int64_t>(&value.data)) {
                 given = static_cast<double>(*integer);
               } else {
                 throw wrongType(key, value, "write a number from " + range_text + ", without quotes");
               }
               requireInRange(key, value, given, range, range_text);
               target = given;
             });
}

SettingsTable::Setting& SettingsTable::addInteger(const std::string& key, std::int64_t default_value,
                                                  Range<std::int64_t> range, const std::string& description,
                                                  std::function<void(std::int64_t)> assign) {
  const auto range_text = formatRange(range, [](std::int64_t value) { return fmt::format("{}", value); });
  return add({key, "integer", fmt::format("{}", default_value), range_text, description},
             [key, range, range_text, assign = std::move(assign)](const SettingValue& value) {
               const auto* given = std::get_if<std::int64_t>(&value.data);
               if (given == nullptr) {
                 throw wrongType(key, value,
                                 "write an integer from " + range_text + ", without quotes or unit");
               }
               requireInRange(key, value, *given, range, range_text);
               assign(*given);
             });
}

SettingsTable::Setting& SettingsTable::duration(const std::string& key, Duration& target,
                                                Range<Duration> range, const std::string& description) {
  const auto range_text = formatRange(range, formatDuration);
  return add({key, "duration", quoted(formatDuration(target)), range_text, description},
             [key, &target, range, range_text](const SettingValue& value) {
               const auto given = readParsed(key, value, kDurationRemedy, parseDuration);
               requireInRange(key, value, given, range, range_text);
               target = given;
             });
}

SettingsTable::Setting& SettingsTable::size(const std::string& key, std::uint64_t& target,
                                            Range<std::uint64_t> range, const std::string& description) {
  const auto range_text = formatRange(range, formatSize);
  return add({key, "size", quoted(formatSize(target)), range_text, description},
             [key, &target, range, range_text](const SettingValue& value) {
               const auto given = readParsed(key, value, kSizeRemedy, parseSize);
               requireInRange(key, value, given, range, range_text);
               target = given;
             });
}

SettingsTable::Setting& SettingsTable::address(const std::string& key, runtime::Address& target,
                                               const std::string& description) {
  return add({key, "address", quoted(formatOptionalAddress(target)), "IP:port", description},
             [key, &target](const SettingValue& value) {
               target = readParsed(key, value, kAddressRemedy, parseAddress);
             });
}

SettingsTable::Setting& SettingsTable::addresses(const std::string& key,
                                                 std::vector<runtime::Address>& target,
                                                 const std::string& description) {
  return add({key, "list of addresses", formatList(target, formatAddress), "IP:port each", description},
             [key, &target](const SettingValue& value) {
               const auto remedy = "write a list of addresses, such as [\"127.0.0.1:7000\"]";
               std::vector<runtime::Address> items;
               for (const auto& item : readList(key, value, remedy)) {
                 items.push_back(readParsed(key, item, kAddressRemedy, parseAddress));
               }
               target = std::move(items);
             });
}

SettingsTable::Setting& SettingsTable::addRows(const std::string& key, const std::string& description,
                                               const SettingsTable& example, Reader read) {
  Setting& setting = add({key, "list of groups", "none", kNoRange, description}, std::move(read));
  setting.row_ = example.describe();
  for (auto& row : setting.row_) row.key = fmt::format("{}[].{}", key, row.key);
  return setting;
}

const SettingList& SettingsTable::listOfGroups(const std::string& key, const SettingValue& value) {
  const auto remedy = fmt::format("write each group under its own [[{}]] in the settings file", key);
  return readList(key, value, remedy);
}

void SettingsTable::check(std::function<void()> check) { checks_.push_back(std::move(check)); }

void SettingsTable::load(const SettingGroup& file, const std::vector<std::string>& overrides) {
  readGroup("", file);
  for (const auto& override_text : overrides) readOverride(override_text);
  requireAll("settings");
  for (const auto& check : checks_) check();
}

SettingsTable::Setting* SettingsTable::find(std::string_view key) {
  const auto found = std::find_if(settings_.begin(), settings_.end(),
                                  [&](const Setting& setting) { return setting.description_.key == key; });
  return found == settings_.end() ? nullptr : &*found;
}

bool SettingsTable::isGroup(std::string_view key) const {
  const auto prefix = fmt::format("{}.", key);
  return std::any_of(settings_.begin(), settings_.end(),
                     [&](const Setting& setting) { return setting.description_.key.starts_with(prefix); });
}

void SettingsTable::readGroup(const std::string& prefix, const SettingGroup& group) {
  for (const auto& [name, value] : group) {
    const auto key = prefix.empty() ? name : fmt::format("{}.{}", prefix, name);
    if (Setting* setting = find(key)) {
      setting->read_(value);
      setting->given_ = true;
    } else if (!isGroup(key)) {
      throwUnknown(key, value.origin);
    } else if (const auto* child = std::get_if<SettingGroup>(&value.data)) {
      readGroup(key, *child);
    } else {
      throw wrongType(key, value, fmt::format("write [{}] on a line of its own, and its keys below it", key));
    }
  }
}

void SettingsTable::readRow(const std::string& key, const SettingValue& row) {
  const auto* group = std::get_if<SettingGroup>(&row.data);
  if (group == nullptr) throw wrongType(key, row, fmt::format("write [[{}]], and its keys below it", key));
  readGroup("", *group);
  requireAll(fmt::format("{}: {}", row.origin, key));
  for (const auto& check : checks_) check();
}

void SettingsTable::readOverride(const std::string& override_text) {
  const auto equals = override_text.find('=');
  if (equals == std::string::npos) {
    throw Error(ErrorKind::Invalid, fmt::format("flag --set: \"{}\" has no value", override_text),
                "write --set key=value");
  }
  const auto key = override_text.substr(0, equals);
  const auto value = parseFlagValue(override_text.substr(equals + 1));
  Setting* setting = find(key);
  if (setting == nullptr) throwUnknown(key, value.origin);
  setting->read_(value);
  setting->given_ = true;
}

void SettingsTable::requireAll(const std::string& where) const {
  for (const auto& setting : settings_) {
    if (!setting.required_ || setting.given_) continue;
    throw Error(ErrorKind::Invalid,
                fmt::format("{}: the required key {} is missing", where, setting.description_.key),
                fmt::format("add it ({}): {}", setting.description_.unit, setting.description_.description));
  }
}

void SettingsTable::throwUnknown(const std::string& key, const std::string& origin) const {
  const auto group = key.substr(0, key.find('.')) + ".";
  std::vector<std::string> near;
  std::vector<std::string> all;
  for (const auto& setting : settings_) {
    all.push_back(setting.description_.key);
    if (setting.description_.key.starts_with(group)) near.push_back(setting.description_.key);
  }
  throw Error(ErrorKind::Invalid, fmt::format("{}: {}: unknown key", origin, key),
              fmt::format("remove it, or write one of {}", fmt::join(near.empty() ? all : near, ", ")));
}

std::vector<SettingDescription> SettingsTable::describe() const {
  std::vector<SettingDescription> descriptions;
  for (const auto& setting : settings_) {
    descriptions.push_back(setting.description_);
    descriptions.insert(descriptions.end(), setting.row_.begin(), setting.row_.end());
  }
  return descriptions;
}

std::string describeAsMarkdown(const SettingsTable& table) {
  std::string text = "| key | type | default | range | meaning |\n|---|---|---|---|---|\n";
  for (const auto& row : table.describe()) {
    text += fmt::format("| `{}` | {} | {} | {} | {} |\n", row.key, row.unit, row.default_value, row.range,
                        row.description);
  }
  return text;
}

}  // namespace cometstand::settings

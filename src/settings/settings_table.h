#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "runtime/process_core.h"
#include "settings/setting_value.h"

namespace cometstand::settings {

/// Smallest and largest value that a setting may have, both included.
template <typename Value>
struct Range {
  Value low;
  Value high;
};

/// What the documentation says about one setting.
struct SettingDescription {
  /// Dotted, such as "relay.batch_window".
  std::string key;
  /// Type or unit, such as "duration".
  std::string unit;
  /// In the form in which it is written in a file.
  std::string default_value;
  std::string range;
  std::string description;
};

/// The settings of one program. The program declares each key once, with the variable that takes the value;
/// the variable's value at that time is the default. Variables must outlive the table.
///
///     StoreSettings settings;  // a plain struct with the defaults
///     SettingsTable table;
///     declareCommonSettings(table, settings.common);
///     table.duration("store.heartbeat", settings.heartbeat, {5ms, 1s}, "Time between two heartbeats.");
///     table.text("store.name", settings.name, "Name of this replica.").required();
///     table.rows<Peer>("store.peers", settings.peers, "The first replicas.",
///                      [](SettingsTable& row, Peer& peer) {
///                        row.integer("id", peer.id, {1, kMaxId}, "Identifier, never reused.").required();
///                        row.address("address", peer.address, "Where it listens.").required();
///                      });
///     table.check([&] { if (settings.peers.empty()) throw Error(ErrorKind::Invalid, ..., ...); });
///     return runProgram(argc, argv, kProgram, table, [&] { return run(settings); });
class SettingsTable {
 public:
  using Reader = std::function<void(const SettingValue&)>;

  /// One declared key.
  class Setting {
   public:
    /// The key must be given: it has no default.
    Setting& required();

   private:
    friend class SettingsTable;
    SettingDescription description_;
    Reader read_;
    bool required_ = false;
    bool given_ = false;
    /// Set for a list of groups: the settings of one group.
    std::vector<SettingDescription> row_;
  };

  Setting& flag(const std::string& key, bool& target, const std::string& description);
  Setting& text(const std::string& key, std::string& target, const std::string& description);
  Setting& texts(const std::string& key, std::vector<std::string>& target, const std::string& description);
  Setting& choice(const std::string& key, std::string& target, const std::vector<std::string>& choices,
                  const std::string& description);
  Setting& number(const std::string& key, double& target, Range<double> range,
                  const std::string& description);
  Setting& duration(const std::string& key, Duration& target, Range<Duration> range,
                    const std::string& description);
  /// Bytes.
  Setting& size(const std::string& key, std::uint64_t& target, Range<std::uint64_t> range,
                const std::string& description);
  /// An empty host stands for "none".
  Setting& address(const std::string& key, runtime::Address& target, const std::string& description);
  Setting& addresses(const std::string& key, std::vector<runtime::Address>& target,
                     const std::string& description);

  template <typename Integer>
  Setting& integer(const std::string& key, Integer& target, Range<Integer> range,
                   const std::string& description) {
    static_assert(sizeof(Integer) <= sizeof(std::int64_t));
    const auto limit = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    const auto high = static_cast<std::uint64_t>(range.high) > limit ? limit : range.high;
    const Range<std::int64_t> wide{static_cast<std::int64_t>(range.low), static_cast<std::int64_t>(high)};
    return addInteger(key, static_cast<std::int64_t>(target), wide, description,
                      [&target](std::int64_t value) { target = static_cast<Integer>(value); });
  }

  /// A list of groups, written `[[key]]` in a file. It cannot be set by a flag.
  /// @param declare declares the keys of one group in a table of their own.
  template <typename Row>
  Setting& rows(const std::string& key, std::vector<Row>& target, const std::string& description,
                std::function<void(SettingsTable&, Row&)> declare) {
    Row example{};
    SettingsTable example_table;
    declare(example_table, example);
    auto read = [&target, declare, key](const SettingValue& value) {
      target.clear();
      for (const auto& item : listOfGroups(key, value)) {
        Row row{};
        SettingsTable row_table;
        declare(row_table, row);
        row_table.readRow(key, item);
        target.push_back(std::move(row));
      }
    };
    return addRows(key, description, example_table, std::move(read));
  }

  /// Adds a check over several settings; it runs after all values are read.
  /// @param check throws Error(Invalid) with the remedy.
  void check(std::function<void()> check);

  /// Reads a whole file, as parsed, and the overrides of the command line; then checks.
  /// @param overrides each "key=value".
  /// @throw Error(Invalid) on an unknown key, a wrong type, unit or range, a missing required key; the
  /// message
  ///   names the key and where it stands, the remedy what to write.
  void load(const SettingGroup& file, const std::vector<std::string>& overrides);

  /// @return every key in the order of declaration; those of a list of groups follow it as "key[].name".
  std::vector<SettingDescription> describe() const;

 private:
  Setting& add(SettingDescription description, Reader read);
  Setting& addInteger(const std::string& key, std::int64_t default_value, Range<std::int64_t> range,
                      const std::string& description, std::function<void(std::int64_t)> assign);
  Setting& addRows(const std::string& key, const std::string& description, const SettingsTable& example,
                   Reader read);
  static const SettingList& listOfGroups(const std::string& key, const SettingValue& value);

  Setting* find(std::string_view key);
  bool isGroup(std::string_view key) const;
  void readGroup(const std::string& prefix, const SettingGroup& group);
  void readRow(const std::string& key, const SettingValue& row);
  void readOverride(const std::string& override_text);
  void requireAll(const std::string& where) const;
  [[noreturn]] void throwUnknown(const std::string& key, const std::string& origin) const;

  std::deque<Setting> settings_;
  std::vector<std::function<void()>> checks_;
};

/// @return a Markdown table of the settings.
std::string describeAsMarkdown(const SettingsTable& table);

}  // namespace cometstand::settings

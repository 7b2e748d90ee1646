#pragma once

#include <string>
#include <vector>

#include "settings/settings_table.h"

namespace cometstand::settings {

/// Where a program's settings come from: the file and the flags that go over it. Kept by programs that read
/// their settings again while they run.
class SettingsSource {
 public:
  /// @param file empty for none.
  /// @param overrides each "key=value".
  SettingsSource(std::string file, std::vector<std::string> overrides)
      : file_(std::move(file)), overrides_(std::move(overrides)) {}

  /// Sets the table's variables.
  /// @throw Error(InputOutput), Error(Malformed), Error(Invalid) as readSettingsFile() and
  /// SettingsTable::load(); some variables may then be set and others not.
  void load(SettingsTable& table);

  /// @return true if the file's text is another one than that of the last load(), whether that succeeded or
  /// not.
  bool hasChanged() const;

 private:
  std::string readText() const;

  std::string file_;
  std::vector<std::string> overrides_;
  std::string loaded_text_;
};

}  // namespace cometstand::settings

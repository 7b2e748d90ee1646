#pragma once

#include <string>

#include "overload/overload_options.h"
#include "runtime/process_core.h"
#include "settings/settings_table.h"

namespace cometstand::settings {

/// Certificates for the links between processes.
struct TlsSettings {
  bool enabled = true;
  /// PEM files.
  std::string certificate;
  std::string key;
  std::string authority;
};

/// What store, relay and proxy have in common.
struct CommonSettings {
  std::string log_level = "info";
  /// "json" or "text".
  std::string log_format = "json";
  runtime::Address listen;
  /// No listener if the host is empty.
  runtime::Address admin;
  std::string data_folder;
  std::string zone;
  std::string region;
  TlsSettings tls;
  overload::OverloadOptions overload;
};

/// Declares log.level, listen.address, admin.address, data.folder, zone, region, tls.* and overload.*.
void declareCommonSettings(SettingsTable& table, CommonSettings& settings);

/// Declares tls.* alone.
void declareTlsSettings(SettingsTable& table, TlsSettings& settings);

/// Carries out log.level.
void applyLogLevel(const CommonSettings& settings);

}  // namespace cometstand::settings

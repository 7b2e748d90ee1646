#pragma once

#include "settings/common_settings.h"
#include "sidecar/sidecar_options.h"

namespace cometstand::sidecar {

/// All settings of a sidecar proxy.
struct SidecarSettings {
  settings::CommonSettings common;
  SidecarOptions options;
  /// Entries of the form "ZONE=REGION" from which `options.zones` is built.
  std::vector<std::string> zones;
};

/// Declares all settings of a sidecar proxy and their checks.
void declareSidecarSettings(settings::SettingsTable& table, SidecarSettings& sidecar);

/// Completes the options from the common settings and the zone entries. Must be called after the settings
/// were read.
void completeSidecarOptions(SidecarSettings& sidecar);

}  // namespace cometstand::sidecar

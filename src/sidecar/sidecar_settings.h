#pragma once

#include "settings/common_settings.h"
#include "sidecar/sidecar_options.h"

namespace cometstand::sidecar {

/// All settings of a sidecar proxy.
struct SidecarSettings {
  settings::CommonSettings common;
  SidecarOptions options;
  /// Of `options.zones`: each "ZONE=REGION".
  std::vector<std::string> zones;
};

/// Declares every setting of a sidecar proxy, together with its checks.
void declareSidecarSettings(settings::SettingsTable& table, SidecarSettings& sidecar);

/// Takes the common settings over into the options; call it once they are read.
void completeSidecarOptions(SidecarSettings& sidecar);

}  // namespace cometstand::sidecar

#pragma once

#include "relay/prober.h"
#include "relay/relay_options.h"
#include "settings/common_settings.h"

namespace cometstand::relay {

/// All settings of cometstand-relay.
struct RelaySettings {
  settings::CommonSettings common;
  RelayOptions options;
  ProberOptions prober;
};

/// Declares every setting of cometstand-relay, together with its checks.
void declareRelaySettings(settings::SettingsTable& table, RelaySettings& relay);

/// Takes the common settings over into the options; call it once the settings are read.
void completeRelayOptions(RelaySettings& relay);

}  // namespace cometstand::relay

#pragma once

#include "proxy/control_options.h"
#include "proxy/data_path_options.h"
#include "proxy/http_options.h"
#include "settings/common_settings.h"

namespace cometstand::proxy {

/// All settings of cometstand-proxy.
struct ProxySettings {
  settings::CommonSettings common;
  ControlOptions control;
  HttpOptions http;
  DataPathOptions data_path;
  /// How long a planned stop waits, after the last request, for the store to confirm the ends of claims.
  Duration claim_settle_limit = std::chrono::seconds(5);
};

/// Declares every setting of cometstand-proxy, together with its checks.
void declareProxySettings(settings::SettingsTable& table, ProxySettings& proxy);

/// Takes the common settings over into the options; call it once the settings are read.
/// @param incarnation differs between the runs of a proxy; it also makes this run's claims unique.
void completeProxyOptions(ProxySettings& proxy, std::uint64_t incarnation);

}  // namespace cometstand::proxy

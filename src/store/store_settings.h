#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "settings/common_settings.h"
#include "store/options.h"

namespace cometstand::store {

/// One replica as it is named in a settings file.
struct ReplicaSettings {
  std::uint64_t id = 0;
  std::string name;
  runtime::Address address;
  std::string region;
};

/// All settings of cometstand-store.
struct StoreSettings {
  settings::CommonSettings common;
  StoreOptions options;
  std::uint64_t id = 0;
  std::string name;
  runtime::Address advertise;
  std::size_t tolerated_losses = 1;
  /// Of `options.quota`.
  double quota_window_seconds = 5;
  std::vector<ReplicaSettings> replicas;
  /// Of `options.zones`: each "ZONE=REGION".
  std::vector<std::string> zones;
  std::string bootstrap_salt;
  std::string bootstrap_token_hash;
};

/// Declares every setting of cometstand-store, together with its checks.
void declareStoreSettings(settings::SettingsTable& table, StoreSettings& store);

/// Takes the settings over into the options; call it once they are read.
void completeStoreOptions(StoreSettings& store);

}  // namespace cometstand::store

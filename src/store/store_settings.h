#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "settings/common_settings.h"
#include "store/options.h"

namespace cometstand::store {

/// One entry of store.replicas in a settings file.
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
  /// Source of `options.quota.window`.
  double quota_window_seconds = 5;
  std::vector<ReplicaSettings> replicas;
  /// Source of `options.zones`; each entry has the form "ZONE=REGION".
  std::vector<std::string> zones;
  std::string bootstrap_salt;
  std::string bootstrap_token_hash;
};

/// Declares every setting of cometstand-store, together with its checks.
void declareStoreSettings(settings::SettingsTable& table, StoreSettings& store);

/// Derives `store.options` from the other settings. Must be called after the settings have been read.
void completeStoreOptions(StoreSettings& store);

}  // namespace cometstand::store

#pragma once

#include <cstdint>
#include <string>

#include "base/time.h"
#include "rehearsal/scale/catalog_plan.h"

namespace cometstand::rehearsal {

/// Which store feeds the relays.
enum class StoreMode : std::uint8_t { Real, Memory };

/// What a scale run does.
struct ScaleOptions {
  CatalogShape shape;
  StoreMode store_mode = StoreMode::Real;
  std::size_t stores = 3;
  /// At least one a zone; 0 for one a zone.
  std::size_t relays = 0;
  std::size_t proxies_per_process = 200;
  /// Targets that share one hollow back end.
  std::size_t targets_per_backend = 10;

  /// Targets, the last ones, whose proxy is a process of the product; the others are hollow.
  std::size_t real_proxies = 0;

  std::size_t changes = 100;
  /// Pause between two changes. A day's 58,000 are one each 1.49 s.
  Duration change_interval = std::chrono::milliseconds(500);
  /// Back ends that start anew, and endpoints sighted as leaving, while the changes run.
  std::size_t churn = 10;
  std::size_t sightings = 10;
  /// Share of the proxies that die at once, and share of those that lose their disk.
  double herd_restart = 0.5;
  double herd_disk_loss = 0.05;
  /// Claims in flight over all hollow proxies, and for how long; 0 for no claims.
  std::size_t claims_in_flight = 0;
  Duration claims_time = std::chrono::seconds(10);
  /// How long the fleet is watched while nothing changes.
  Duration idle = std::chrono::seconds(10);

  Duration batch_window = std::chrono::milliseconds(50);
  Duration beat_interval = std::chrono::seconds(1);
  Duration probe_interval = std::chrono::seconds(5);

  /// How long any one phase may take before the run fails.
  Duration phase_limit = std::chrono::minutes(3);
  std::uint64_t seed = 1;
  /// Holds settings, data folders and logs; a new one under the system's temporary folder if empty.
  std::string work_folder;
  /// Where the programs stand.
  std::string program_folder;

  std::size_t relayCount() const { return relays == 0 ? shape.zones : relays; }
  std::size_t hollowProxies() const { return shape.proxies - real_proxies; }
  std::size_t hollowProcesses() const {
    return (hollowProxies() + proxies_per_process - 1) / proxies_per_process;
  }
};

/// Most processes of one run.
inline constexpr std::size_t kMaxProcesses = 200;

/// Reads the command line. @throw TCLAP::ArgException; Error(Invalid) if the run would be too large.
ScaleOptions parseScaleOptions(int argc, const char* const* argv);

}  // namespace cometstand::rehearsal

#include "sidecar/zone_evacuations.h"

#include <utility>

namespace cometstand::sidecar {

bool ZoneEvacuations::apply(const wire::EvacuationUpdateT& update) {
  if (update.number <= number_) return false;
  number_ = update.number;
  std::set<std::string> zones;
  for (const auto& record : update.records) {
    if (record->is_evacuated) zones.insert(record->zone);
  }
  return std::exchange(zones_, zones) != zones;
}

}  // namespace cometstand::sidecar

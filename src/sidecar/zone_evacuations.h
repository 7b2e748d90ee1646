#pragma once

#include <cstdint>
#include <set>
#include <string>

#include "schema/mesh_generated.h"

namespace cometstand::sidecar {

/// The evacuated zones, whose targets get no requests, according to the updates of the stores.
///
/// Invariant: the state never reverts to an older one; late updates are ignored.
class ZoneEvacuations {
 public:
  /// Applies an update of a store unless a newer one is known.
  /// @return true if the set of evacuated zones changed.
  bool apply(const wire::EvacuationUpdateT& update);

  bool isEvacuated(const std::string& zone) const { return zones_.contains(zone); }
  const std::set<std::string>& zones() const { return zones_; }
  /// @return the number of the newest known change; 0 if there is none.
  std::uint64_t number() const { return number_; }

 private:
  std::set<std::string> zones_;
  std::uint64_t number_ = 0;
};

}  // namespace cometstand::sidecar

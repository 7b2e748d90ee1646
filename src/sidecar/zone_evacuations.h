#pragma once

#include <cstdint>
#include <set>
#include <string>

#include "schema/mesh_generated.h"

namespace cometstand::sidecar {

/// The zones whose targets get no requests, as the stores tell this sidecar.
///
/// Invariant: what it knows only goes forward, whatever comes late.
class ZoneEvacuations {
 public:
  /// Takes a store's word over, unless a newer one is known. @return true if anything changed.
  bool apply(const wire::EvacuationUpdateT& update);

  bool isEvacuated(const std::string& zone) const { return zones_.contains(zone); }
  const std::set<std::string>& zones() const { return zones_; }
  /// Number of the newest change that is known; 0 for none.
  std::uint64_t number() const { return number_; }

 private:
  std::set<std::string> zones_;
  std::uint64_t number_ = 0;
};

}  // namespace cometstand::sidecar

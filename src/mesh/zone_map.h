#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cometstand::mesh {

/// How far a zone is from another one.
enum class ZoneDistance : std::uint8_t { SameZone, SameRegion, OtherRegion };

/// The zones of a deployment and the region of each, as the settings say.
class ZoneMap {
 public:
  ZoneMap() = default;
  /// @param entries each "ZONE=REGION".
  /// @throw Error(Invalid) if an entry has no such form, or names a zone twice.
  explicit ZoneMap(const std::vector<std::string>& entries);

  /// @return the zone's region; empty if the zone is not known.
  const std::string& regionOf(const std::string& zone) const;
  /// @return true if the zone is known.
  bool contains(const std::string& zone) const { return regions_.contains(zone); }
  bool empty() const { return regions_.empty(); }
  /// By zone.
  const std::map<std::string, std::string>& all() const { return regions_; }

  /// Two different zones of which one is not known count as in one region.
  ZoneDistance distance(const std::string& from, const std::string& to) const;

 private:
  std::map<std::string, std::string> regions_;
};

/// @param allowed the only regions that may serve a request; empty for all. Names of regions that no zone has
/// are harmless.
/// @param region empty if it is not known, which is allowed only where all are.
bool isAllowedRegion(const std::vector<std::string>& allowed, const std::string& region);

}  // namespace cometstand::mesh
